package org.oleandertrack.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.placement.PlacementResult.Placed;
import org.oleandertrack.core.placement.PlacementResult.Predicted;
import org.oleandertrack.core.placement.PlacementResult.Reason;
import org.oleandertrack.core.placement.TargetAssessment.Use;
import org.oleandertrack.core.result.ResultCode;

/**
 * Chooses the target of a call among the members that serve one model or service. It compares a few
 * targets drawn at random and the one that holds the prefix, and takes the one with the least
 * predicted cost. The random draw keeps entry hosts that see the same load reports from all
 * choosing the same target.
 *
 * <p>A target that is due for a probe and comes up in the draw gets the call if the request allows
 * it. Targets left out come into play only when no other is left.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class Placement {

    // Draws per choice before the whole list is searched; with two thirds of the targets usable
    // eight draws all miss once in 6,000 times.
    private static final int DRAWS_PER_CHOICE = 8;

    private final PlacementConfig mConfig;
    private final String mZone;
    private final ZoneDistance mDistance;
    private final HealthView mHealth;
    private final RandomGenerator mRandom;
    private final Map<String, Integer> mIndexes = new HashMap<>();
    private final List<TargetLoad> mTargets = new ArrayList<>();

    /**
     * Creates a placement without targets.
     *
     * @param zone zone of this process
     */
    public Placement(
            PlacementConfig config,
            String zone,
            ZoneDistance distance,
            HealthView health,
            RandomGenerator random) {
        mConfig = config;
        mZone = zone;
        mDistance = distance;
        mHealth = health;
        mRandom = random;
    }

    /**
     * Adds a target that became a member.
     *
     * @throws IllegalArgumentException if a target of this id is present
     */
    public void add(TargetLoad target) {
        if (mIndexes.putIfAbsent(target.info().id(), mTargets.size()) != null) {
            throw new IllegalArgumentException("target is present: " + target.info().id());
        }
        mTargets.add(target);
    }

    /** Removes a target that is leaving or unreachable. Does nothing if it is not present. */
    public void remove(String targetId) {
        Integer index = mIndexes.remove(targetId);
        if (index == null) {
            return;
        }
        TargetLoad last = mTargets.removeLast();
        if (index < mTargets.size()) {
            mTargets.set(index, last);
            mIndexes.put(last.info().id(), index);
        }
    }

    /** Returns a target's load, if it is present. */
    public Optional<TargetLoad> target(String targetId) {
        Integer index = mIndexes.get(targetId);
        return index == null ? Optional.empty() : Optional.of(mTargets.get(index));
    }

    /** Returns the number of targets. */
    public int size() {
        return mTargets.size();
    }

    /**
     * Chooses a target. Counting the call there with {@link TargetLoad#sent} is left to the caller.
     */
    public PlacementResult choose(PlacementRequest request, long nowNanos) {
        Decision decision = new Decision(request, nowNanos);
        request.prefix()
                .map(location -> mIndexes.get(location.targetId()))
                .ifPresent(index -> decision.consider(mTargets.get(index)));
        boolean few = mTargets.size() <= mConfig.choices();
        int draws = few ? 0 : mConfig.choices() * DRAWS_PER_CHOICE;
        int wanted = decision.mCompared + mConfig.choices();
        for (int i = 0; i < draws && decision.isOpen(wanted); i++) {
            decision.consider(mTargets.get(mRandom.nextInt(mTargets.size())));
        }
        if (few || decision.mCompared == 0) {
            mTargets.forEach(decision::consider);
        }
        return decision.result();
    }

    /** The state of one decision. */
    private final class Decision {
        private final PlacementRequest mRequest;
        private final long mNowNanos;
        private int mCompared;
        private TargetLoad mBest;
        private Predicted mBestCost;
        private TargetLoad mProbe;
        private Predicted mProbeCost;
        private TargetLoad mLastResort;
        private Predicted mLastResortCost;

        private Decision(PlacementRequest request, long nowNanos) {
            mRequest = request;
            mNowNanos = nowNanos;
        }

        private boolean isOpen(int wanted) {
            return mProbe == null && mCompared < wanted;
        }

        private void consider(TargetLoad target) {
            String id = target.info().id();
            if (mRequest.excluded().contains(id)) {
                return;
            }
            TargetAssessment assessment = mHealth.assess(id, mNowNanos);
            if (assessment.use() == Use.NONE) {
                return;
            }
            switch (assessment.use()) {
                case NORMAL -> considerNormal(target, cost(target, assessment));
                case PROBE -> considerProbe(target, cost(target, assessment));
                default -> considerLastResort(target, cost(target, assessment));
            }
        }

        private void considerNormal(TargetLoad target, Predicted cost) {
            mCompared++;
            if (mBest == null || cost.costNanos() < mBestCost.costNanos()) {
                mBest = target;
                mBestCost = cost;
            }
        }

        private void considerProbe(TargetLoad target, Predicted cost) {
            if (mRequest.probe() && mProbe == null) {
                mProbe = target;
                mProbeCost = cost;
            } else {
                considerLastResort(target, cost);
            }
        }

        private void considerLastResort(TargetLoad target, Predicted cost) {
            if (mLastResort == null || cost.costNanos() < mLastResortCost.costNanos()) {
                mLastResort = target;
                mLastResortCost = cost;
            }
        }

        private PlacementResult result() {
            if (mProbe != null) {
                return new Placed(mProbe.info().id(), Reason.PROBE, mProbeCost);
            }
            if (mBest != null) {
                String id = mBest.info().id();
                boolean atPrefix =
                        mRequest.prefix()
                                .map(location -> location.targetId().equals(id))
                                .orElse(false);
                return new Placed(id, atPrefix ? Reason.PREFIX : Reason.LEAST_COST, mBestCost);
            }
            if (mLastResort != null) {
                return new Placed(mLastResort.info().id(), Reason.LAST_RESORT, mLastResortCost);
            }
            return new PlacementResult.Refused(ResultCode.NO_TARGET_AVAILABLE);
        }

        private Predicted cost(TargetLoad target, TargetAssessment assessment) {
            long held = 0;
            if (mRequest.prefix().isPresent()
                    && mRequest.prefix().get().targetId().equals(target.info().id())) {
                held = Math.min(mRequest.prefix().get().tokens(), mRequest.promptTokens());
            }
            long wait = target.predictedWaitNanos();
            long prefill = (mRequest.promptTokens() - held) * mConfig.prefillNanosPerToken();
            long penalty = assessment.penaltyNanos();
            long zone = mDistance.roundTripNanos(mZone, target.info().zone());
            long cost = wait + mConfig.prefillWeight() * prefill + penalty + zone;
            return new Predicted(wait, prefill, penalty, zone, cost);
        }
    }
}
