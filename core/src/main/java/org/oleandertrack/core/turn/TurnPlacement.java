package org.oleandertrack.core.turn;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the engine of a turn: the one with the least predicted time to the turn's end, plus the
 * delay that the turn causes to the others in the engine's batch. Answers a load in which short
 * turns share batches, hosts slow down for moments, and prompts repeat earlier ones. Immutable.
 */
public final class TurnPlacement {

    // Round trip to another availability zone; the users state 0.9 to 1.4 ms one way.
    private static final double OTHER_ZONE_MILLIS = 2.5;
    // More than any wait: a target that failed is used only when no other is left.
    private static final double AVOIDED_MILLIS = 1e6;
    // Decides between engines that are otherwise equal, in other zones too: the program's later
    // turns will find its parts there.
    private static final double HOME_MILLIS = 5;
    // Delay of others counts like the turn's own: the mean over all programs is what matters.
    private static final double OTHERS_WEIGHT = 1;

    private final EngineTimes mTimes;
    private final String mZone;

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this host
     */
    public TurnPlacement(EngineTimes times, String zone) {
        mTimes = times;
        mZone = zone;
    }

    /** Chooses an engine that is not excluded; empty if there is none. */
    public Optional<PlacementChoice> choose(
            Collection<TargetState> engines,
            TurnRequest turn,
            Set<String> excluded,
            long nowNanos) {
        AssumedPrefixes assumed = AssumedPrefixes.of(turn, engines);
        TargetState best = null;
        int bestMissingTokens = 0;
        double bestMillis = Double.MAX_VALUE;
        for (TargetState engine : engines) {
            if (excluded.contains(engine.id())) {
                continue;
            }
            int missingTokens = assumed.missingTokens(engine);
            double costMillis =
                    costMillis(engine, turn, missingTokens, nowNanos)
                            - (assumed.isHome(engine) ? HOME_MILLIS : 0);
            if (costMillis < bestMillis) {
                best = engine;
                bestMissingTokens = missingTokens;
                bestMillis = costMillis;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(describe(best, turn, bestMissingTokens, nowNanos));
    }

    // Helpers

    private double predictedMillis(
            TargetState engine, TurnRequest turn, int missingTokens, long nowNanos) {
        double requests = engine.load().requests(nowNanos);
        double stepMillis = mTimes.stepMillis(Math.min(requests + 1, engine.slots()));
        double turnMillis =
                mTimes.firstMillis()
                        + mTimes.promptMillis(missingTokens)
                        + turn.expectedTokens() * stepMillis;
        double queued = Math.max(0, requests + 1 - engine.slots());
        double waitMillis = turnMillis * queued / engine.slots();
        return engine.load().slowness(nowNanos) * (turnMillis + waitMillis);
    }

    private double costMillis(
            TargetState engine, TurnRequest turn, int missingTokens, long nowNanos) {
        double batch = Math.min(engine.load().requests(nowNanos), engine.slots());
        double delayOfOthers =
                batch
                        * engine.load().slowness(nowNanos)
                        * (mTimes.promptMillis(missingTokens)
                                + turn.expectedTokens() * mTimes.stepMillisPerRequest());
        double zoneMillis = engine.zone().equals(mZone) ? 0 : OTHER_ZONE_MILLIS;
        double avoidMillis = engine.isAvoided(nowNanos) ? AVOIDED_MILLIS : 0;
        return predictedMillis(engine, turn, missingTokens, nowNanos)
                + OTHERS_WEIGHT * delayOfOthers
                + zoneMillis
                + avoidMillis;
    }

    private PlacementChoice describe(
            TargetState engine, TurnRequest turn, int missingTokens, long nowNanos) {
        return new PlacementChoice(
                engine.id(),
                predictedMillis(engine, turn, missingTokens, nowNanos),
                engine.load().requests(nowNanos),
                engine.load().slowness(nowNanos),
                missingTokens,
                TimeUnit.NANOSECONDS.toMillis(engine.load().slownessAgeNanos(nowNanos)));
    }
}
