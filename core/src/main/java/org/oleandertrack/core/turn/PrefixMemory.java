package org.oleandertrack.core.turn;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine is believed to keep, least recently used first. Not thread-safe:
 * the owner guards each instance with its own lock.
 */
public final class PrefixMemory {

    private final long mCapacityTokens;
    private final LinkedHashMap<String, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);
    private long mTokens;

    /** Creates an empty memory of the given size. */
    public PrefixMemory(long capacityTokens) {
        mCapacityTokens = capacityTokens;
    }

    /** Returns how many tokens of a prompt would have to be read, parts that are kept left out. */
    public int missingTokens(TurnRequest turn) {
        int kept = 0;
        for (PromptPart part : turn.parts()) {
            if (!mParts.containsKey(part.id())) {
                break;
            }
            kept += part.tokens();
        }
        return Math.max(0, turn.promptTokens() - kept);
    }

    /** Notes that the engine reads a prompt. */
    public void use(List<PromptPart> parts) {
        // The first parts are shared most, so they are touched last and yield last.
        for (PromptPart part : parts.reversed()) {
            if (mParts.put(part.id(), part.tokens()) == null) {
                mTokens += part.tokens();
            }
        }
        Iterator<Map.Entry<String, Integer>> oldest = mParts.entrySet().iterator();
        while (mTokens > mCapacityTokens && oldest.hasNext()) {
            mTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
