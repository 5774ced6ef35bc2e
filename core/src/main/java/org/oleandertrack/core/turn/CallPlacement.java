package org.oleandertrack.core.turn;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call to a service whose targets are not model engines. A target runs
 * several calls at once, each at full speed until its slots are nearly full, so the cost of a
 * target depends on its current slowness, its learned factor and the occupied fraction of its
 * slots. Among targets of nearly equal cost one is drawn at random, so that hosts with the same
 * load estimates do not all choose the same target. Immutable apart from its random generator;
 * thread-safe if the generator is.
 */
public final class CallPlacement {

    // Costs within this ratio of the lowest cost count as equal, because the load estimates behind
    // them are no more accurate.
    private static final double EQUAL_COST_RATIO = 1.1;
    // Relative cost increase when all slots are occupied; with half of them occupied the cost
    // is 25% higher.
    private static final double OCCUPANCY_WEIGHT = 0.5;
    // Relative cost increase for one queued request per slot.
    private static final double QUEUE_WEIGHT = 2;
    // Added for targets in other zones: the round trip adds about 2 ms to calls of 80 ms and more.
    private static final double OTHER_ZONE_COST = 0.02;

    // Usual duration of a call, which relates a wait in milliseconds to the relative costs.
    private static final double USUAL_CALL_MILLIS = 200;
    // Exceeds every other cost, so that an avoided target is chosen only if no other is left.
    private static final double AVOIDED_COST = 1e6;

    private final String mZone;
    private final RandomGenerator mRandom;

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this host
     * @param random draws among targets of nearly equal cost
     */
    public CallPlacement(String zone, RandomGenerator random) {
        mZone = zone;
        mRandom = random;
    }

    /** Chooses a target that is not excluded; empty if there is none. */
    public Optional<PlacementChoice> choose(
            List<TargetState> targets, Set<String> excluded, long nowNanos) {
        double[] costs = new double[targets.size()];
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < costs.length; i++) {
            TargetState target = targets.get(i);
            costs[i] = excluded.contains(target.id()) ? Double.MAX_VALUE : cost(target, nowNanos);
            lowestCost = Math.min(lowestCost, costs[i]);
        }
        if (lowestCost == Double.MAX_VALUE) {
            return Optional.empty();
        }
        TargetState chosen = null;
        int candidates = 0;
        // Reservoir sampling: every candidate is chosen with the same probability.
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] <= lowestCost * EQUAL_COST_RATIO && mRandom.nextInt(++candidates) == 0) {
                chosen = targets.get(i);
            }
        }
        return Optional.of(describe(chosen, lowestCost, nowNanos));
    }

    private double cost(TargetState target, long nowNanos) {
        double requests = target.load().requests(nowNanos);
        double occupiedFraction = Math.min(1, requests / target.slots());
        double waitingPerSlot = Math.max(0, requests + 1 - target.slots()) / target.slots();
        double zoneCost = target.zone().equals(mZone) ? 0 : OTHER_ZONE_COST;
        return target.times().callFactor(nowNanos)
                        * target.load().slowness(nowNanos)
                        * (1 + OCCUPANCY_WEIGHT * occupiedFraction + QUEUE_WEIGHT * waitingPerSlot)
                + zoneCost
                + target.permitWaitMillis(nowNanos) / USUAL_CALL_MILLIS
                + (target.isAvoided(nowNanos) ? AVOIDED_COST : 0);
    }

    private static PlacementChoice describe(TargetState target, double cost, long nowNanos) {
        return new PlacementChoice(
                target.id(),
                cost,
                0,
                target.load().requests(nowNanos),
                target.load().slowness(nowNanos),
                target.times().callFactor(nowNanos),
                0,
                false,
                TimeUnit.NANOSECONDS.toMillis(target.load().slownessAgeNanos(nowNanos)));
    }
}
