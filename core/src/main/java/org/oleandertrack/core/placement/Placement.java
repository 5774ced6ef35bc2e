package org.oleandertrack.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.placement.PlacementResult.Placed;
import org.oleandertrack.core.placement.PlacementResult.PredictedCost;
import org.oleandertrack.core.placement.PlacementResult.Reason;
import org.oleandertrack.core.placement.TargetAssessment.Use;
import org.oleandertrack.core.result.ResultCode;

/**
 * Chooses the target of a call among the reachable targets of one model or service. It compares a
 * few targets drawn at random, and the target that holds the prompt's prefix, and takes the one
 * with the lowest predicted cost. The random draw prevents entry hosts that see the same load
 * reports from all choosing the same target.
 *
 * <p>A target that is due for a probe gets the call if it is drawn and the request allows probes.
 * Targets that are set aside or failing are chosen only if no other is left.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class Placement {

    // Largest number of random draws for each target that is to be compared. If no draw hits a
    // usable target, all targets are searched. If two thirds of the targets are usable, eight draws
    // in a row hit only unusable ones once in about 6,000 times.
    private static final int DRAWS_PER_COMPARED_TARGET = 8;

    private final PlacementConfig mConfig;
    private final String mZone;
    private final ZoneDistance mDistance;
    private final HealthView mHealth;
    private final RandomGenerator mRandom;
    private final Map<String, Integer> mIndexById = new HashMap<>();
    private final List<TargetLoad> mTargets = new ArrayList<>();

    /**
     * Creates a placement without targets.
     *
     * @param zone availability zone of this process
     * @param distance round-trip times between zones
     * @param health health of the targets
     * @param random draws the targets to compare
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
     * Adds a target that became reachable.
     *
     * @throws IllegalArgumentException if a target with this id is present
     */
    public void add(TargetLoad target) {
        if (mIndexById.putIfAbsent(target.info().id(), mTargets.size()) != null) {
            throw new IllegalArgumentException("target was already added: " + target.info().id());
        }
        mTargets.add(target);
    }

    /** Removes a target that is leaving or unreachable. Does nothing if it is not present. */
    public void remove(String targetId) {
        Integer index = mIndexById.remove(targetId);
        if (index == null) {
            return;
        }
        TargetLoad last = mTargets.removeLast();
        if (index < mTargets.size()) {
            mTargets.set(index, last);
            mIndexById.put(last.info().id(), index);
        }
    }

    /** Returns a target's load, if it is present. */
    public Optional<TargetLoad> target(String targetId) {
        Integer index = mIndexById.get(targetId);
        return index == null ? Optional.empty() : Optional.of(mTargets.get(index));
    }

    /** Returns the number of targets. */
    public int size() {
        return mTargets.size();
    }

    /** Chooses a target. The caller counts the call there with {@link TargetLoad#recordSent}. */
    public PlacementResult choose(PlacementRequest request, long nowNanos) {
        Selection selection = new Selection(request, nowNanos);
        request.prefix()
                .map(location -> mIndexById.get(location.targetId()))
                .ifPresent(index -> selection.consider(mTargets.get(index)));
        boolean comparesAll = mTargets.size() <= mConfig.choices();
        int maxDraws = comparesAll ? 0 : mConfig.choices() * DRAWS_PER_COMPARED_TARGET;
        int requiredComparisons = selection.mComparedCount + mConfig.choices();
        for (int i = 0; i < maxDraws && selection.needsMoreCandidates(requiredComparisons); i++) {
            selection.consider(mTargets.get(mRandom.nextInt(mTargets.size())));
        }
        if (comparesAll || selection.mComparedCount == 0) {
            mTargets.forEach(selection::consider);
        }
        return selection.result();
    }

    /** State of one run of {@link #choose}. */
    private final class Selection {
        private final PlacementRequest mRequest;
        private final long mNowNanos;
        private int mComparedCount;
        private TargetLoad mBest;
        private PredictedCost mBestCost;
        private TargetLoad mProbe;
        private PredictedCost mProbeCost;
        private TargetLoad mLastResort;
        private PredictedCost mLastResortCost;

        private Selection(PlacementRequest request, long nowNanos) {
            mRequest = request;
            mNowNanos = nowNanos;
        }

        private boolean needsMoreCandidates(int requiredComparisons) {
            return mProbe == null && mComparedCount < requiredComparisons;
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

        private void considerNormal(TargetLoad target, PredictedCost cost) {
            mComparedCount++;
            if (mBest == null || cost.costNanos() < mBestCost.costNanos()) {
                mBest = target;
                mBestCost = cost;
            }
        }

        private void considerProbe(TargetLoad target, PredictedCost cost) {
            if (mRequest.mayProbe() && mProbe == null) {
                mProbe = target;
                mProbeCost = cost;
            } else {
                considerLastResort(target, cost);
            }
        }

        private void considerLastResort(TargetLoad target, PredictedCost cost) {
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
                boolean holdsPrefix =
                        mRequest.prefix()
                                .map(location -> location.targetId().equals(id))
                                .orElse(false);
                return new Placed(id, holdsPrefix ? Reason.PREFIX : Reason.LEAST_COST, mBestCost);
            }
            if (mLastResort != null) {
                return new Placed(mLastResort.info().id(), Reason.LAST_RESORT, mLastResortCost);
            }
            return new PlacementResult.Refused(ResultCode.NO_TARGET_AVAILABLE);
        }

        private PredictedCost cost(TargetLoad target, TargetAssessment assessment) {
            long heldTokens = 0;
            if (mRequest.prefix().isPresent()
                    && mRequest.prefix().get().targetId().equals(target.info().id())) {
                heldTokens = Math.min(mRequest.prefix().get().tokens(), mRequest.promptTokens());
            }
            long waitNanos = target.predictedWaitNanos();
            long prefillNanos =
                    (mRequest.promptTokens() - heldTokens) * mConfig.prefillNanosPerToken();
            long penaltyNanos = assessment.penaltyNanos();
            long zoneNanos = mDistance.roundTripNanos(mZone, target.info().zone());
            long costNanos =
                    waitNanos + mConfig.prefillWeight() * prefillNanos + penaltyNanos + zoneNanos;
            return new PredictedCost(waitNanos, prefillNanos, penaltyNanos, zoneNanos, costNanos);
        }
    }
}
