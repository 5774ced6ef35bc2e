package org.oleandertrack.gateway.call;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.health.SilenceRule;

/**
 * Notices a target that is silent for longer than its load explains: it may have run a request and
 * lost the answer, or hang. Confined to the call's event loop.
 */
final class StallWatch {

    private static final long RECHECK_MILLIS = 100;

    private final Call mCall;
    private final Attempt mAttempt;
    private final long mPredictedMillis;

    /**
     * Creates a watch.
     *
     * @param predictedMillis predicted time of the request at the target; 0 if unknown
     */
    StallWatch(Call call, Attempt attempt, long predictedMillis) {
        mCall = call;
        mAttempt = attempt;
        mPredictedMillis = predictedMillis;
    }

    void start() {
        checkAfter(SilenceRule.limitMillis(mPredictedMillis));
    }

    private void checkAfter(long delayMillis) {
        var _ =
                mCall.writer()
                        .eventLoop()
                        .schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!mCall.isCurrent(mAttempt)) {
            return;
        }
        long nowNanos = System.nanoTime();
        long quietMillis = mCall.quietMillis(nowNanos);
        boolean stalled =
                SilenceRule.isStalled(
                        quietMillis,
                        mPredictedMillis,
                        mCall.context().targets().hasRoom(mAttempt.handle(), nowNanos),
                        mCall.context()
                                .targets()
                                .hasAnsweredSince(mAttempt.handle(), mCall.sentNanos()));
        if (!stalled) {
            checkAfter(
                    Math.max(
                            RECHECK_MILLIS,
                            SilenceRule.limitMillis(mPredictedMillis) - quietMillis));
            return;
        }
        mCall.stalled(mAttempt, quietMillis);
    }
}
