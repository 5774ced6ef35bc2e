package org.oleandertrack.gateway.call;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.health.StallPolicy;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.gateway.targets.TargetRegistry;

/**
 * Detects an attempt whose target has been silent for longer than its load explains: the response
 * may be lost, or the target may be hung. Confined to the call's event loop.
 */
final class StallDetector {

    private static final long RECHECK_MILLIS = 100;

    private final Call mCall;
    private final CallDispatcher mDispatcher;
    private final Attempt mAttempt;
    private final long mPredictedMillis;
    private final boolean mRepeatsStalled;

    /**
     * Creates a detector for one attempt.
     *
     * @param predictedMillis predicted duration of the request at the target; 0 if unknown
     * @param repeatsStalled whether an earlier attempt of the call has stalled at the same target
     */
    StallDetector(
            Call call,
            CallDispatcher dispatcher,
            Attempt attempt,
            long predictedMillis,
            boolean repeatsStalled) {
        mCall = call;
        mDispatcher = dispatcher;
        mAttempt = attempt;
        mPredictedMillis = predictedMillis;
        mRepeatsStalled = repeatsStalled;
    }

    void start() {
        checkAfter(
                mRepeatsStalled ? RECHECK_MILLIS : StallPolicy.maxSilenceMillis(mPredictedMillis));
    }

    private void checkAfter(long delayMillis) {
        var _ =
                mCall.writer()
                        .eventLoop()
                        .schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!mDispatcher.isRunning(mAttempt)) {
            return;
        }
        // The target is not read while the caller does not read.
        if (!mCall.writer().isWritable()) {
            checkAfter(StallPolicy.maxSilenceMillis(mPredictedMillis));
            return;
        }
        long nowNanos = System.nanoTime();
        long silentMillis = mAttempt.silentMillis(nowNanos);
        if (!isStalled(silentMillis, nowNanos)) {
            long maxSilenceMillis = StallPolicy.maxSilenceMillis(mPredictedMillis);
            checkAfter(
                    mRepeatsStalled
                            ? RECHECK_MILLIS
                            : Math.max(RECHECK_MILLIS, maxSilenceMillis - silentMillis));
            return;
        }
        mDispatcher.onStalled(mAttempt, silentMillis);
    }

    private boolean isStalled(long silentMillis, long nowNanos) {
        TargetRegistry targets = mCall.context().targets();
        TargetHandle handle = mAttempt.handle();
        boolean repeatStalled =
                mRepeatsStalled
                        && StallPolicy.isRepeatStalled(
                                mAttempt.hasData(), targets.unansweredRequests(handle));
        return repeatStalled
                || StallPolicy.isStalled(
                        silentMillis,
                        mPredictedMillis,
                        targets.hasRoom(handle, nowNanos),
                        targets.hasRespondedSince(handle, mAttempt.sentNanos()));
    }
}
