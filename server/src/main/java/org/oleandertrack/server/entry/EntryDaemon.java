package org.oleandertrack.server.entry;

import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.PeerConnector;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Leaving;
import org.oleandertrack.server.cli.Daemon;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.settings.EntrySettings;
import org.tinylog.Logger;

/** The entry host's process. Thread safe. */
public final class EntryDaemon implements Daemon {

    private final EntrySettings mSettings;
    private final LocalNode mNode;
    private final HttpService mHttp;
    private final PeerServer mPeerServer;
    private final PeerConnector mConnector;
    private final HostDirectory mHosts;
    private final CallLimiter mLimiter;

    EntryDaemon(
            EntrySettings settings,
            LocalNode node,
            HttpService http,
            PeerServer peerServer,
            PeerConnector connector,
            HostDirectory hosts,
            CallLimiter limiter) {
        mSettings = settings;
        mNode = node;
        mHttp = http;
        mPeerServer = peerServer;
        mConnector = connector;
        mHosts = hosts;
        mLimiter = limiter;
    }

    // Life-cycle

    @Override
    public void start() throws Exception {
        mPeerServer.start(mSettings.peer().address(), mSettings.peer().port());
        mHosts.start();
        mHttp.start();
        Logger.info(
                "listening as entry host {} in zone {}: httpPort={} adminPort={} peerPort={}"
                        + " incarnation={}",
                mNode.node(),
                mNode.zone(),
                mHttp.port(),
                mHttp.adminPort(),
                mPeerServer.port(),
                Long.toHexString(mNode.incarnation()));
    }

    @Override
    public void stop() {
        mLimiter.close();
        mPeerServer.broadcast(Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()).build());
        Logger.info("stopping: waiting for {} calls", mLimiter.calls());
        try {
            mLimiter.awaitIdle();
            mHttp.stop();
        } catch (Exception e) {
            Logger.warn(e, "the stop was not complete");
        }
        mHosts.stop();
        mPeerServer.stop();
        mConnector.stop();
        Logger.info("stopped");
    }
}
