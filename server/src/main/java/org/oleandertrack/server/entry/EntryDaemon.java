package org.oleandertrack.server.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.PeerConnector;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Leaving;
import org.oleandertrack.server.cli.Daemon;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.settings.EntrySettings;
import org.tinylog.Logger;

/** Starts and stops the process of an entry host. Thread safe. */
public final class EntryDaemon implements Daemon {

    /** Longer than any call may take, so that it only ends a shutdown that hangs. */
    private static final long MAX_SHUTDOWN_HOURS = 24;

    private final EntrySettings mSettings;
    private final LocalNode mNode;
    private final HttpService mHttp;
    private final EntryPeers mPeers;
    private final EntryCoordination mCoordination;
    private final ConfigService mConfig;
    private final CallLimiter mLimiter;
    private final ScheduledExecutorService mTimer;

    /** The connections to other processes. */
    record EntryPeers(PeerServer server, PeerConnector connector, HostDirectory hosts) {}

    EntryDaemon(
            EntrySettings settings,
            LocalNode node,
            HttpService http,
            EntryPeers peers,
            EntryCoordination coordination,
            ConfigService config,
            CallLimiter limiter,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mNode = node;
        mHttp = http;
        mPeers = peers;
        mCoordination = coordination;
        mConfig = config;
        mLimiter = limiter;
        mTimer = timer;
    }

    // Life-cycle

    @Override
    public void start() throws Exception {
        mPeers.server().start(mSettings.peer().address(), mSettings.peer().port());
        mCoordination.start();
        mConfig.start();
        mPeers.hosts().start();
        mHttp.start();
        Logger.info(
                "listening as entry host {} in zone {}: httpPort={} adminPort={} peerPort={}"
                        + " incarnation={}",
                mNode.node(),
                mNode.zone(),
                mHttp.port(),
                mHttp.adminPort(),
                mPeers.server().port(),
                Long.toHexString(mNode.incarnation()));
    }

    /** Refuses new calls as not run; closes connections only after the running calls have ended. */
    @Override
    public void stop() {
        mLimiter.close();
        mPeers.server()
                .broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        Logger.info("stopping: waiting for {} calls", mLimiter.calls());
        try {
            mCoordination.releaseShards().get(MAX_SHUTDOWN_HOURS, TimeUnit.HOURS);
            mLimiter.awaitIdle();
            mHttp.stop();
            mConfig.stop();
            mCoordination.stop().get(MAX_SHUTDOWN_HOURS, TimeUnit.HOURS);
        } catch (Exception e) {
            Logger.warn(e, "shutdown is incomplete; closing the connections to other processes");
        }
        mPeers.hosts().stop();
        mPeers.server().stop();
        mPeers.connector().stop();
        mTimer.shutdownNow();
        Logger.info("stopped");
    }
}
