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
    // A process that is restarted at once is back before the probe; its entry in the store changes.
    private static final long RESTART_CHECK_MILLIS = 2_000;

    private final EventLoop mLoop;

    CrashWatch(EventLoop loop) {
        mLoop = loop;
    }

    /** Calls the listener on the event loop if the target has crashed. */
    void start(TargetHandle handle, Runnable onCrashed) {
        ConnectProbe.run(
                mLoop,
                handle.connections().remote(),
                CONNECT_TIMEOUT_MILLIS,
                reachable -> {
                    if (!reachable) {
                        onCrashed.run();
                        return;
                    }
                    var _ =
                            mLoop.schedule(
                                    () -> checkRestart(handle, onCrashed),
                                    RESTART_CHECK_MILLIS,
                                    TimeUnit.MILLISECONDS);
                });
    }

    private static void checkRestart(TargetHandle handle, Runnable onCrashed) {
        if (handle.isLost()) {
            onCrashed.run();
        }
    }
}
