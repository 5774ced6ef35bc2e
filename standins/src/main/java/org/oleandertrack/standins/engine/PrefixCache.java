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
 * owners hold uses capacity only once, but counts in full for each of them. Thread-safe.
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

    /** Returns the number of tokens in the longest cached prefix of a prompt. */
    synchronized long cachedPrefixTokens(String model, List<Prompt.Block> blocks) {
        long tokens = 0;
        for (Prompt.Block block : blocks) {
            if (!mEntries.containsKey(key(model, block.digest()))) {
                break;
            }
            tokens += block.tokens();
        }
        return tokens;
    }

    /**
     * Stores the blocks of a prompt for an owner, then evicts blocks until the capacity suffices.
     */
    synchronized void store(String model, String owner, List<Prompt.Block> blocks) {
        long storedTokens = 0;
        // Accesses blocks from last to first: each block is then more recently used than the blocks
        // after it, and eviction removes the end of a prompt before its beginning.
        for (Prompt.Block block : blocks.reversed()) {
            storedTokens += storeBlock(key(model, block.digest()), owner, block.tokens());
        }
        if (storedTokens > 0) {
            mEvents.add("stored", owner, storedTokens);
        }
        evictToCapacity();
        mUsedTokensListener.accept(mUsedTokens);
    }

    /** Stores a prompt and its answer if the owner still holds the last block of the prompt. */
    synchronized void storeWithAnswer(
            String model, String owner, List<Prompt.Block> blocks, Prompt.Block answer) {
        Entry lastBlock = mEntries.get(key(model, blocks.getLast().digest()));
        if (lastBlock == null || !lastBlock.mOwners.contains(owner)) {
            return;
        }
        List<Prompt.Block> withAnswer = new ArrayList<>(blocks);
        withAnswer.add(answer);
        store(model, owner, withAnswer);
    }

    /**
     * Removes an owner from all its blocks and frees those without another owner.
     *
     * @return the number of tokens that the owner held, including those in blocks that stay
     */
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
        Map<String, Long> evictedTokensByOwner = new TreeMap<>();
        Iterator<Entry> entries = mEntries.values().iterator();
        while (mUsedTokens > mCapacityTokens && entries.hasNext()) {
            Entry entry = entries.next();
            entries.remove();
            mUsedTokens -= entry.mTokens;
            for (String owner : entry.mOwners) {
                evictedTokensByOwner.merge(owner, entry.mTokens, Long::sum);
            }
        }
        evictedTokensByOwner.forEach((owner, tokens) -> mEvents.add("evicted", owner, tokens));
    }
}
