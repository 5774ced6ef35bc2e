package org.oleandertrack.gateway.call;

import java.util.concurrent.TimeUnit;

/**
 * Notices a target that is silent for longer than its load explains: it may have run a request and
 * lost the answer, or hang. Confined to the call's event loop.
 */
final class StallWatch {

    // Callers give up a silent stream after two seconds and more, a lookup after two.
    private static final long STALL_MILLIS = 900;
    // A turn takes this much longer than predicted only on a target that is in trouble.
    private static final long STALL_FACTOR = 4;
    private static final long RECHECK_MILLIS = 100;

    private final Call mCall;
    private final Attempt mAttempt;
    private final long mLimitMillis;

    /**
     * Creates a watch.
     *
     * @param predictedMillis predicted time of the request at the target; 0 if unknown
     */
    StallWatch(Call call, Attempt attempt, long predictedMillis) {
        mCall = call;
        mAttempt = attempt;
        mLimitMillis = Math.max(STALL_MILLIS, STALL_FACTOR * predictedMillis);
    }

    void start() {
        checkAfter(mLimitMillis);
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
        // A target that is nearly full may only be late.
        boolean explained = !mCall.context().targets().hasRoom(mAttempt.handle(), nowNanos);
        if (quietMillis < mLimitMillis || explained) {
            checkAfter(Math.max(RECHECK_MILLIS, mLimitMillis - quietMillis));
            return;
        }
        mCall.stalled(mAttempt, quietMillis);
    }
}
