package org.oleandertrack.core.turn;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call to a plain service. A target runs a few calls at once and serves
 * each at full speed until it is nearly full, so the present slowness and the filled part of the
 * slots decide; among targets that are nearly equal one is drawn, so that hosts with the same
 * knowledge do not all choose the same one. Immutable apart from its random generator, which is
 * thread-safe if the generator is.
 */
public final class CallPlacement {

    // Costs that differ by less are no better than the knowledge behind them.
    private static final double EQUAL_COST_RATIO = 1.1;
    // A target that is nearly full slows down; the weight makes half full cost a quarter more.
    private static final double FILL_WEIGHT = 0.5;
    private static final double QUEUE_WEIGHT = 2;
    // Added to other zones: about 2 ms on calls of 80 ms and more.
    private static final double OTHER_ZONE_COST = 0.02;

    // More than any wait: a target that failed is used only when no other is left.
    private static final double AVOIDED_COST = 1e6;

    private final String mZone;
    private final RandomGenerator mRandom;

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this host
     */
    public CallPlacement(String zone, RandomGenerator random) {
        mZone = zone;
        mRandom = random;
    }

    /** Chooses a target that is not excluded; empty if there is none. */
    public Optional<PlacementChoice> choose(
            List<TargetState> targets, Set<String> excluded, long nowNanos) {
        double[] costs = new double[targets.size()];
        double least = Double.MAX_VALUE;
        for (int i = 0; i < costs.length; i++) {
            TargetState target = targets.get(i);
            costs[i] = excluded.contains(target.id()) ? Double.MAX_VALUE : cost(target, nowNanos);
            least = Math.min(least, costs[i]);
        }
        if (least == Double.MAX_VALUE) {
            return Optional.empty();
        }
        TargetState chosen = null;
        int candidates = 0;
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] <= least * EQUAL_COST_RATIO && mRandom.nextInt(++candidates) == 0) {
                chosen = targets.get(i);
            }
        }
        return Optional.of(describe(chosen, least, nowNanos));
    }

    private double cost(TargetState target, long nowNanos) {
        double requests = target.load().requests(nowNanos);
        double fill = Math.min(1, requests / target.slots());
        double queued = Math.max(0, requests + 1 - target.slots()) / target.slots();
        double zoneCost = target.zone().equals(mZone) ? 0 : OTHER_ZONE_COST;
        return target.load().slowness(nowNanos) * (1 + FILL_WEIGHT * fill + QUEUE_WEIGHT * queued)
                + zoneCost
                + (target.isAvoided(nowNanos) ? AVOIDED_COST : 0);
    }

    private static PlacementChoice describe(TargetState target, double cost, long nowNanos) {
        return new PlacementChoice(
                target.id(),
                cost,
                target.load().requests(nowNanos),
                target.load().slowness(nowNanos),
                0,
                TimeUnit.NANOSECONDS.toMillis(target.load().slownessAgeNanos(nowNanos)));
    }
}
