package org.oleandertrack.core.turn;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the engine of a turn: the one with the lowest sum of the predicted time to the turn's
 * completion and the delay that the turn causes to the other requests of the engine's batch, plus
 * the wait for an engine that limits its rate. It is meant for workloads in which short turns share
 * batches, hosts slow down for short periods and prompts repeat earlier prompts. Immutable.
 */
public final class TurnPlacement {

    // Round trip to another availability zone, for a stated one-way latency of 0.9 to 1.4 ms.
    private static final double OTHER_ZONE_COST_MILLIS = 2.5;
    // Exceeds every other cost, so that an avoided engine is chosen only if no other is left.
    private static final double AVOIDED_COST_MILLIS = 1e6;
    // Cost reduction for the program's home engine, so that it is chosen among otherwise equal
    // engines, even in another zone: the program's later turns find their prompt cached there.
    private static final double HOME_BONUS_MILLIS = 5;
    // Delays of other requests weigh as much as the turn's own time, because the goal is a low mean
    // over all programs.
    private static final double BATCH_DELAY_WEIGHT = 1;

    private final String mZone;

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this host
     */
    public TurnPlacement(String zone) {
        mZone = zone;
    }

    /** Chooses an engine that is not excluded; empty if there is none. */
    public Optional<PlacementChoice> choose(
            Collection<TargetState> engines,
            TurnRequest turn,
            Set<String> excluded,
            long nowNanos) {
        PrefillEstimate prefillEstimate = PrefillEstimate.of(turn, engines);
        TargetState best = null;
        int bestMissingTokens = 0;
        double lowestCostMillis = Double.MAX_VALUE;
        for (TargetState engine : engines) {
            if (excluded.contains(engine.id())) {
                continue;
            }
            int missingTokens = prefillEstimate.missingTokens(engine);
            double costMillis =
                    costMillis(engine, turn, missingTokens, nowNanos)
                            - (prefillEstimate.isHome(engine) ? HOME_BONUS_MILLIS : 0);
            if (costMillis < lowestCostMillis) {
                best = engine;
                bestMissingTokens = missingTokens;
                lowestCostMillis = costMillis;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(
                describe(best, turn, bestMissingTokens, prefillEstimate.isHome(best), nowNanos));
    }

    // Helpers

    private double predictedMillis(
            TargetState engine, TurnRequest turn, int missingTokens, long nowNanos) {
        EngineTimes times = engine.times().engineTimes(nowNanos);
        double requests = engine.load().requests(nowNanos);
        double stepMillis = times.stepMillis(Math.min(requests + 1, engine.slots()));
        double turnMillis =
                times.startDelayMillis()
                        + times.prefillMillis(missingTokens)
                        + turn.expectedOutputTokens() * stepMillis;
        double waitingRequests = Math.max(0, requests + 1 - engine.slots());
        double waitMillis = turnMillis * waitingRequests / engine.slots();
        return engine.load().slowness(nowNanos) * (turnMillis + waitMillis);
    }

    private double costMillis(
            TargetState engine, TurnRequest turn, int missingTokens, long nowNanos) {
        EngineTimes times = engine.times().engineTimes(nowNanos);
        double batchSize = Math.min(engine.load().requests(nowNanos), engine.slots());
        double batchDelayMillis =
                batchSize
                        * engine.load().slowness(nowNanos)
                        * (times.prefillMillis(missingTokens)
                                + turn.expectedOutputTokens() * times.stepMillisPerRequest());
        double zoneCostMillis = engine.zone().equals(mZone) ? 0 : OTHER_ZONE_COST_MILLIS;
        double avoidedCostMillis = engine.isAvoided(nowNanos) ? AVOIDED_COST_MILLIS : 0;
        return predictedMillis(engine, turn, missingTokens, nowNanos)
                + BATCH_DELAY_WEIGHT * batchDelayMillis
                + zoneCostMillis
                + avoidedCostMillis
                + engine.permitWaitMillis(nowNanos);
    }

    private PlacementChoice describe(
            TargetState engine,
            TurnRequest turn,
            int missingTokens,
            boolean missingTokensAssumed,
            long nowNanos) {
        EngineTimes times = engine.times().engineTimes(nowNanos);
        double firstEventMillis =
                engine.load().slowness(nowNanos)
                        * (times.startDelayMillis() + times.prefillMillis(missingTokens));
        return new PlacementChoice(
                engine.id(),
                predictedMillis(engine, turn, missingTokens, nowNanos),
                firstEventMillis,
                engine.load().requests(nowNanos),
                engine.load().slowness(nowNanos),
                engine.times().engineFactor(nowNanos),
                missingTokens,
                missingTokensAssumed,
                TimeUnit.NANOSECONDS.toMillis(engine.load().slownessAgeNanos(nowNanos)));
    }
}
