package org.oleandertrack.gateway.call;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.health.StallPolicy;

/**
 * Detects an attempt whose target has been silent for longer than its load explains: the response
 * may be lost, or the target may be hung. Confined to the call's event loop.
 */
final class StallDetector {

    private static final long MIN_RECHECK_MILLIS = 100;

    private final Call mCall;
    private final CallDispatcher mDispatcher;
    private final Attempt mAttempt;
    private final long mPredictedMillis;

    /**
     * Creates a detector for one attempt.
     *
     * @param predictedMillis predicted duration of the request at the target; 0 if unknown
     */
    StallDetector(Call call, CallDispatcher dispatcher, Attempt attempt, long predictedMillis) {
        mCall = call;
        mDispatcher = dispatcher;
        mAttempt = attempt;
        mPredictedMillis = predictedMillis;
    }

    void start() {
        checkAfter(StallPolicy.maxSilenceMillis(mPredictedMillis));
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
        boolean stalled =
                StallPolicy.isStalled(
                        silentMillis,
                        mPredictedMillis,
                        mCall.context().targets().hasRoom(mAttempt.handle(), nowNanos),
                        mCall.context()
                                .targets()
                                .hasRespondedSince(mAttempt.handle(), mAttempt.sentNanos()));
        if (!stalled) {
            checkAfter(
                    Math.max(
                            MIN_RECHECK_MILLIS,
                            StallPolicy.maxSilenceMillis(mPredictedMillis) - silentMillis));
            return;
        }
        mDispatcher.onStalled(mAttempt, silentMillis);
    }
}
