package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.ConnectProbe;

/**
 * Finds out whether a target whose connection broke during a request has crashed: it accepts no
 * connections, or the incarnation is gone soon afterwards although it did not drain. Confined to an
 * event loop.
 */
final class CrashWatch {

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    // A process that ends may accept connections for a moment after it has closed others.
    private static final long SECOND_PROBE_MILLIS = 200;
    // A process that is restarted at once is back before the probes; its entry in the store
    // changes.
    private static final long RESTART_CHECK_MILLIS = 2_000;

    private final EventLoop mLoop;
    private final TargetHandle mHandle;
    private final Runnable mOnCrashed;

    /**
     * Creates a watch that is not started.
     *
     * @param onCrashed called at most once, on the event loop, if the target has crashed
     */
    CrashWatch(EventLoop loop, TargetHandle handle, Runnable onCrashed) {
        mLoop = loop;
        mHandle = handle;
        mOnCrashed = onCrashed;
    }

    void start() {
        probe(() -> schedule(this::probeAgain, SECOND_PROBE_MILLIS));
    }

    private void probeAgain() {
        probe(() -> schedule(this::checkRestart, RESTART_CHECK_MILLIS));
    }

    private void probe(Runnable onReachable) {
        ConnectProbe.run(
                mLoop,
                mHandle.connections().remote(),
                CONNECT_TIMEOUT_MILLIS,
                reachable -> (reachable ? onReachable : mOnCrashed).run());
    }

    private void checkRestart() {
        if (mHandle.isLost()) {
            mOnCrashed.run();
        }
    }

    private void schedule(Runnable task, long delayMillis) {
        var _ = mLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
}
