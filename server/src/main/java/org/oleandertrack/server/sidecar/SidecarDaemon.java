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

/** The process beside a target. Thread safe. */
public final class SidecarDaemon implements Daemon {

    /** Far longer than a notice takes to reach an entry host. */
    private static final long NOTICE_NANOS = 500_000_000L;

    private final SidecarSettings mSettings;
    private final LocalNode mNode;
    private final PeerServer mPeerServer;
    private final SidecarCallHandler mCalls;
    private final CallGate mGate;
    private final Optional<EngineMemoryService> mMemory;
    private final HttpService mHttp;
    private final AtomicBoolean mLeaving;
    private final ScheduledExecutorService mTimer;

    SidecarDaemon(
            SidecarSettings settings,
            LocalNode node,
            PeerServer peerServer,
            SidecarCallHandler calls,
            CallGate gate,
            Optional<EngineMemoryService> memory,
            HttpService http,
            AtomicBoolean leaving,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mNode = node;
        mPeerServer = peerServer;
        mCalls = calls;
        mGate = gate;
        mMemory = memory;
        mHttp = http;
        mLeaving = leaving;
        mTimer = timer;
    }

    // Life-cycle

    @Override
    public void start() throws Exception {
        mHttp.start();
        mCalls.start();
        mMemory.ifPresent(EngineMemoryService::start);
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
        mGate.close();
        mPeerServer.broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        Logger.info("stopping: waiting for {} calls", mGate.load().getRunning());
        try {
            mGate.awaitIdle();
            // Calls that entry hosts sent before they took in the notice are refused, not lost.
            LockSupport.parkNanos(NOTICE_NANOS);
            mMemory.ifPresent(EngineMemoryService::stop);
            mPeerServer.stop();
            mHttp.stop();
        } catch (Exception e) {
            Logger.warn(e, "the stop was not complete");
        }
        mTimer.shutdownNow();
        Logger.info("stopped");
    }

    // Accessors

    /** Returns the port of the inner protocol, after the start. */
    public int peerPort() {
        return mPeerServer.port();
    }

    /** Returns the administration port, after the start. */
    public Optional<Integer> adminPort() {
        return Optional.of(mHttp.adminPort());
    }
}
