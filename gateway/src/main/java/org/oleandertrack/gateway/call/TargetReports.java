package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.http.OutboundFailure;

/** Tells the registry what the ends of attempts show about their targets. Thread-safe. */
final class TargetReports {

    // How long to avoid a target that is unreachable or has restarted as another incarnation.
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);
    // How long to avoid a target with a full queue; the target ends several requests in 100 ms.
    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final TargetRegistry mTargets;

    TargetReports(TargetRegistry targets) {
        mTargets = targets;
    }

    void refused(TargetHandle handle, boolean otherIncarnation) {
        long avoidNanos = otherIncarnation ? AVOID_NANOS : FULL_AVOID_NANOS;
        mTargets.avoid(handle, System.nanoTime() + avoidNanos);
        mTargets.recordAbandoned(handle);
    }

    void failed(TargetHandle handle, OutboundFailure failure) {
        long nowNanos = System.nanoTime();
        mTargets.recordFailure(handle, failure.name().toLowerCase(Locale.ROOT), nowNanos);
        if (!failure.mayHaveRun()) {
            mTargets.avoid(handle, nowNanos + AVOID_NANOS);
        }
    }

    /**
     * Reports a response that is not a refusal.
     *
     * @param sentNanos when the request was sent, as {@link System#nanoTime}
     */
    void answered(TargetHandle handle, int status, long sentNanos) {
        long nowNanos = System.nanoTime();
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            mTargets.recordFailure(handle, "status " + status, nowNanos);
            return;
        }
        mTargets.recordSuccess(handle, nowNanos - sentNanos, nowNanos);
    }
}
