package org.oleandertrack.core.turn;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine is believed to keep. First parts are shared by many programs and
 * are touched by all hosts, so they count as kept once they were read; of the others the least
 * recently used yield. Not thread-safe: the owner guards each instance with its own lock.
 */
public final class PrefixMemory {

    // More than the number of different first parts that are in use at a time.
    private static final int MAX_FIRST_PARTS = 64;

    private final LinkedHashMap<String, Integer> mFirstParts = new LinkedHashMap<>(16, 0.75f, true);
    private final LinkedHashMap<String, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);
    private long mCapacityTokens;
    private long mTokens;

    /**
     * Creates an empty memory.
     *
     * @param capacityTokens tokens of parts other than first ones that this host's turns may keep
     */
    public PrefixMemory(long capacityTokens) {
        mCapacityTokens = capacityTokens;
    }

    /** Changes the size, when other hosts take a larger or smaller part of the memory. */
    public void setCapacity(long capacityTokens) {
        mCapacityTokens = capacityTokens;
        evict();
    }

    /** Returns whether any of the last part of a prompt is kept. */
    boolean knowsLastPart(TurnRequest turn) {
        return turn.parts().size() > 1 && mParts.containsKey(turn.parts().getLast().id());
    }

    /** Returns how many tokens of a prompt would have to be read, parts that are kept left out. */
    public int missingTokens(TurnRequest turn) {
        int kept = 0;
        boolean first = true;
        for (PromptPart part : turn.parts()) {
            Integer tokens = (first ? mFirstParts : mParts).get(part.id());
            if (tokens == null) {
                break;
            }
            kept += Math.min(tokens, part.tokens());
            // A part that has grown since it was read ends what can be used.
            if (tokens < part.tokens()) {
                break;
            }
            first = false;
        }
        return Math.max(0, turn.promptTokens() - kept);
    }

    /** Notes that the engine reads a prompt. */
    public void use(List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return;
        }
        mFirstParts.put(parts.getFirst().id(), parts.getFirst().tokens());
        if (mFirstParts.size() > MAX_FIRST_PARTS) {
            mFirstParts.pollFirstEntry();
        }
        // Earlier parts are needed for later ones to be of use, so they are touched last.
        for (PromptPart part : parts.subList(1, parts.size()).reversed()) {
            Integer before = mParts.put(part.id(), part.tokens());
            mTokens += part.tokens() - (before == null ? 0 : before);
        }
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = mParts.entrySet().iterator();
        while (mTokens > mCapacityTokens && oldest.hasNext()) {
            mTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
