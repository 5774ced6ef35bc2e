package org.oleandertrack.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/**
 * A cache of message prefixes that evicts the least recently used block. A block that several
 * owners use takes its tokens once, and counts as held by each of them. Thread-safe.
 */
final class PrefixCache {

    private static final class Entry {
        final long mTokens;
        final Set<String> mOwners = new TreeSet<>();

        Entry(long tokens) {
            mTokens = tokens;
        }
    }

    private final long mCapacityTokens;
    private final CacheEventLog mEvents;
    private final LongConsumer mUsedTokensListener;
    private final LinkedHashMap<String, Entry> mEntries = new LinkedHashMap<>(16, 0.75f, true);
    private long mUsedTokens;

    PrefixCache(long capacityTokens, CacheEventLog events, LongConsumer usedTokensListener) {
        mCapacityTokens = capacityTokens;
        mEvents = events;
        mUsedTokensListener = usedTokensListener;
    }

    // Accessors

    synchronized long usedTokens() {
        return mUsedTokens;
    }

    synchronized Map<String, Long> tokensByOwner() {
        Map<String, Long> result = new TreeMap<>();
        for (Entry entry : mEntries.values()) {
            for (String owner : entry.mOwners) {
                result.merge(owner, entry.mTokens, Long::sum);
            }
        }
        return result;
    }

    // Operations

    /** Returns the tokens of the longest cached prefix of a prompt. */
    synchronized long cachedTokens(String model, List<Prompt.Block> blocks) {
        long tokens = 0;
        for (Prompt.Block block : blocks) {
            if (!mEntries.containsKey(key(model, block.digest()))) {
                break;
            }
            tokens += block.tokens();
        }
        return tokens;
    }

    /** Stores the blocks of a prompt for an owner and evicts others if there is no room. */
    synchronized void store(String model, String owner, List<Prompt.Block> blocks) {
        long storedTokens = 0;
        // The last block is used first, so that a prefix is always younger than what follows it.
        for (Prompt.Block block : blocks.reversed()) {
            storedTokens += storeBlock(key(model, block.digest()), owner, block.tokens());
        }
        if (storedTokens > 0) {
            mEvents.add("stored", owner, storedTokens);
        }
        evictToCapacity();
        mUsedTokensListener.accept(mUsedTokens);
    }

    /** Stores a prompt with its answer if the owner still holds the end of the prompt. */
    synchronized void extend(
            String model, String owner, List<Prompt.Block> blocks, Prompt.Block answer) {
        Entry end = mEntries.get(key(model, blocks.getLast().digest()));
        if (end == null || !end.mOwners.contains(owner)) {
            return;
        }
        List<Prompt.Block> extended = new ArrayList<>(blocks);
        extended.add(answer);
        store(model, owner, extended);
    }

    /** Frees what an owner holds and nobody else uses; returns the tokens the owner held. */
    synchronized long release(String owner) {
        long releasedTokens = 0;
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            if (!entry.mOwners.remove(owner)) {
                continue;
            }
            releasedTokens += entry.mTokens;
            if (entry.mOwners.isEmpty()) {
                mUsedTokens -= entry.mTokens;
                entries.remove();
            }
        }
        if (releasedTokens > 0) {
            mEvents.add("evicted", owner, releasedTokens);
            mUsedTokensListener.accept(mUsedTokens);
        }
        return releasedTokens;
    }

    // Helpers

    private static String key(String model, String digest) {
        return model + "\n" + digest;
    }

    private long storeBlock(String key, String owner, long tokens) {
        Entry entry = mEntries.get(key);
        if (entry == null) {
            entry = new Entry(tokens);
            mEntries.put(key, entry);
            mUsedTokens += tokens;
        }
        return entry.mOwners.add(owner) ? tokens : 0;
    }

    private void evictToCapacity() {
        Map<String, Long> evicted = new TreeMap<>();
        Iterator<Entry> entries = mEntries.values().iterator();
        while (mUsedTokens > mCapacityTokens && entries.hasNext()) {
            Entry entry = entries.next();
            entries.remove();
            mUsedTokens -= entry.mTokens;
            for (String owner : entry.mOwners) {
                evicted.merge(owner, entry.mTokens, Long::sum);
            }
        }
        evicted.forEach((owner, tokens) -> mEvents.add("evicted", owner, tokens));
    }
}
