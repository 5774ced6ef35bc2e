package org.oleandertrack.gateway.call;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.turn.UrgencyPolicy;

/** Ranks each send of one call for the engines' queues. Confined to the call's event loop. */
final class CallUrgency {

    private final TurnUrgency mUrgency;
    private final boolean mRanked;
    private final int mPriority;
    private final boolean mProgramUnderWay;
    private final CallMetadata mMetadata;
    private final long mArrivalNanos;

    CallUrgency(
            TurnUrgency urgency,
            boolean ranked,
            int priority,
            boolean programUnderWay,
            CallMetadata metadata,
            long arrivalNanos) {
        mUrgency = urgency;
        mRanked = ranked;
        mPriority = priority;
        mProgramUnderWay = programUnderWay;
        mMetadata = metadata;
        mArrivalNanos = arrivalNanos;
    }

    /**
     * Returns the rank of a send; empty if the call is not ranked.
     *
     * @param predictedMillis predicted time of the turn at its engine, in milliseconds
     */
    OptionalInt rankOf(long predictedMillis) {
        if (!mRanked) {
            return OptionalInt.empty();
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mArrivalNanos);
        OptionalLong remainingMillis =
                mMetadata
                        .program()
                        .map(ProgramMetadata::remainingMillis)
                        .orElse(OptionalLong.empty());
        UrgencyPolicy.Turn turn =
                new UrgencyPolicy.Turn(
                        mPriority,
                        mProgramUnderWay,
                        remainingMillis.isPresent()
                                ? OptionalLong.of(remainingMillis.getAsLong() - elapsedMillis)
                                : OptionalLong.empty(),
                        predictedMillis);
        return OptionalInt.of(mUrgency.rank(turn, mMetadata.requestId()));
    }
}
