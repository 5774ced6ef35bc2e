package org.oleandertrack.core.turn;

import java.util.Collection;
import java.util.Set;

/**
 * Estimates how many tokens of a turn's prompt each engine has to prefill. The estimate is based on
 * the prompts that this host has sent to the engine. In addition, the first part of the prompt is
 * assumed to be cached by a group of engines, and the program's earlier turns by one engine of that
 * group, the program's home engine. No home engine is assumed if this host knows an engine that has
 * cached the last part of the prompt. Immutable.
 */
final class PrefillEstimate {

    // Average fraction of the tokens after the first part that the home engine has not cached: a
    // turn's prompt repeats the earlier turns and adds to them.
    private static final double HOME_UNCACHED_FRACTION = 0.4;

    private final TurnRequest mTurn;
    private final Set<String> mFirstPartEngineIds;
    private final String mHomeEngineId;

    private PrefillEstimate(TurnRequest turn, Set<String> firstPartEngineIds, String homeEngineId) {
        mTurn = turn;
        mFirstPartEngineIds = firstPartEngineIds;
        mHomeEngineId = homeEngineId;
    }

    /** Returns the estimate for a turn. */
    static PrefillEstimate of(TurnRequest turn, Collection<TargetState> engines) {
        if (turn.parts().isEmpty() || turn.programId().isEmpty()) {
            return new PrefillEstimate(turn, Set.of(), "");
        }
        Set<String> firstPartEngineIds =
                EngineAffinity.firstPartEngineIds(turn.parts().getFirst().id(), engines);
        boolean lastPartCached =
                engines.stream().anyMatch(engine -> engine.prefixCache().hasLastPart(turn));
        return new PrefillEstimate(
                turn,
                firstPartEngineIds,
                lastPartCached
                        ? ""
                        : EngineAffinity.homeEngineId(turn.programId(), firstPartEngineIds));
    }

    /** Returns whether an engine is assumed to be the program's home engine. */
    boolean isHome(TargetState engine) {
        return engine.id().equals(mHomeEngineId);
    }

    /** Returns the estimated number of prompt tokens that an engine has to prefill. */
    int missingTokens(TargetState engine) {
        int missingTokens = engine.prefixCache().missingTokens(mTurn);
        if (!mFirstPartEngineIds.contains(engine.id())) {
            return missingTokens;
        }
        int tokensAfterFirstPart = mTurn.promptTokens() - mTurn.parts().getFirst().tokens();
        double uncachedTokens =
                isHome(engine)
                        ? tokensAfterFirstPart * HOME_UNCACHED_FRACTION
                        : tokensAfterFirstPart;
        return Math.min(missingTokens, (int) Math.max(0, uncachedTokens));
    }
}
