package org.oleandertrack.server.sidecar;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Leaving;
import org.oleandertrack.server.cli.Daemon;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.settings.SidecarSettings;
import org.tinylog.Logger;

/** The sidecar daemon, which runs beside one target. Thread safe. */
public final class SidecarDaemon implements Daemon {

    /**
     * Time for which the sidecar stays connected after its last call, to refuse the calls of entry
     * hosts that have not received the leaving notice yet. The notice normally arrives far sooner.
     */
    private static final long LEAVING_NOTICE_NANOS = 500_000_000L;

    private final SidecarSettings mSettings;
    private final LocalNode mNode;
    private final PeerServer mPeerServer;
    private final SidecarCallHandler mCallHandler;
    private final CallScheduler mScheduler;
    private final Optional<EngineMemoryService> mEngineMemory;
    private final HttpService mHttp;
    private final AtomicBoolean mLeaving;
    private final ScheduledExecutorService mTimer;

    SidecarDaemon(
            SidecarSettings settings,
            LocalNode node,
            PeerServer peerServer,
            SidecarCallHandler calls,
            CallScheduler scheduler,
            Optional<EngineMemoryService> memory,
            HttpService http,
            AtomicBoolean leaving,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mNode = node;
        mPeerServer = peerServer;
        mCallHandler = calls;
        mScheduler = scheduler;
        mEngineMemory = memory;
        mHttp = http;
        mLeaving = leaving;
        mTimer = timer;
    }

    // Life-cycle

    @Override
    public void start() throws Exception {
        mHttp.start();
        mCallHandler.start();
        mEngineMemory.ifPresent(EngineMemoryService::start);
        mPeerServer.start(mSettings.peer().address(), mSettings.peer().port());
        Logger.info(
                "listening as sidecar {} in zone {} for target {}: peerPort={} adminPort={}"
                        + " incarnation={}",
                mNode.node(),
                mNode.zone(),
                mNode.target(),
                mPeerServer.port(),
                mHttp.adminPort(),
                Long.toHexString(mNode.incarnation()));
    }

    @Override
    public void stop() {
        mLeaving.set(true);
        mScheduler.close();
        mPeerServer.broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        Logger.info("stopping: waiting for {} calls", mScheduler.load().getRunning());
        try {
            mScheduler.awaitIdle();
            // Calls that entry hosts sent before they received the notice are refused, not lost.
            LockSupport.parkNanos(LEAVING_NOTICE_NANOS);
            mEngineMemory.ifPresent(EngineMemoryService::stop);
            mPeerServer.stop();
            mHttp.stop();
        } catch (Exception e) {
            Logger.warn(e, "sidecar did not stop cleanly");
        }
        mTimer.shutdownNow();
        Logger.info("stopped");
    }

    // Accessors

    /** Returns the port of the inner protocol; valid once the daemon has started. */
    public int peerPort() {
        return mPeerServer.port();
    }

    /** Returns the administration port; valid once the daemon has started. */
    public Optional<Integer> adminPort() {
        return Optional.of(mHttp.adminPort());
    }
}
