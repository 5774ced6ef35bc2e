package org.oleandertrack.core.turn;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of the prompt parts in the prefix cache of one engine. Prompts of many programs share their
 * first part and all hosts use it, so a first part counts as cached from the moment the engine has
 * prefilled it. The other parts are evicted in least-recently-used order. Not thread-safe: the
 * owner guards each instance with its own lock.
 */
public final class PrefixCacheModel {

    // Exceeds the number of distinct first parts that are in use at a time.
    private static final int MAX_FIRST_PARTS = 64;

    private final LinkedHashMap<String, Integer> mFirstParts = new LinkedHashMap<>(16, 0.75f, true);
    private final LinkedHashMap<String, Integer> mLaterParts = new LinkedHashMap<>(64, 0.75f, true);
    private long mCapacityTokens;
    private long mLaterTokens;

    /**
     * Creates an empty cache.
     *
     * @param capacityTokens tokens of parts other than first parts that this host's turns may
     *     occupy
     */
    public PrefixCacheModel(long capacityTokens) {
        mCapacityTokens = capacityTokens;
    }

    /** Sets the capacity when this host's share of the engine's memory changes. */
    public void setCapacityTokens(long capacityTokens) {
        mCapacityTokens = capacityTokens;
        evict();
    }

    /**
     * Returns whether the last part of a prompt is at least partly cached; false if it is also the
     * first.
     */
    boolean hasLastPart(TurnRequest turn) {
        return turn.parts().size() > 1 && mLaterParts.containsKey(turn.parts().getLast().id());
    }

    /** Returns the number of prompt tokens that are not cached and have to be prefilled. */
    public int missingTokens(TurnRequest turn) {
        int cachedTokens = 0;
        boolean first = true;
        for (PromptPart part : turn.parts()) {
            Integer cachedPartTokens = (first ? mFirstParts : mLaterParts).get(part.id());
            if (cachedPartTokens == null) {
                break;
            }
            cachedTokens += Math.min(cachedPartTokens, part.tokens());
            // If the part has grown since it was cached, the cached prefix ends within it.
            if (cachedPartTokens < part.tokens()) {
                break;
            }
            first = false;
        }
        return Math.max(0, turn.promptTokens() - cachedTokens);
    }

    /** Records that the engine prefills a prompt. */
    public void recordPrefill(List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        mFirstParts.put(parts.getFirst().id(), parts.getFirst().tokens());
        if (mFirstParts.size() > MAX_FIRST_PARTS) {
            mFirstParts.pollFirstEntry();
        }
        // A cached part is usable only if all parts before it are cached, so earlier parts are
        // marked as used last and are evicted after later ones.
        for (PromptPart part : parts.subList(1, parts.size()).reversed()) {
            Integer previousTokens = mLaterParts.put(part.id(), part.tokens());
            mLaterTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = mLaterParts.entrySet().iterator();
        while (mLaterTokens > mCapacityTokens && oldest.hasNext()) {
            mLaterTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
