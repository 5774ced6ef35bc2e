package org.oleandertrack.gateway.host;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.feed.TableFollower;
import org.oleandertrack.coordination.relay.RelayingRowStore;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.spending.OutageAllowance;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.core.discovery.TargetDirectory;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.CallerLimits;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.EngineTimes;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.gateway.call.CallContext;
import org.oleandertrack.gateway.call.CallDialect;
import org.oleandertrack.gateway.call.CallMetrics;
import org.oleandertrack.gateway.call.CallService;
import org.oleandertrack.gateway.call.OwnAnswers;
import org.oleandertrack.gateway.peer.PeerAllowanceIssuer;
import org.oleandertrack.gateway.peer.PeerDirectory;
import org.oleandertrack.gateway.peer.PeerHandler;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.http.HttpResponses;
import org.oleandertrack.http.HttpServer;
import org.oleandertrack.http.InboundLimits;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** The process that serves callers: starts and stops everything that belongs to it. */
public final class GatewayHost {

    private static final long UPKEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long ANNOUNCE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final InboundLimits INTERNAL_LIMITS =
            new InboundLimits(8_192, 8_192, 2_000, 60_000);

    // A transaction between peers holds a few rows.
    private static final InboundLimits PEER_LIMITS =
            new InboundLimits(8_192, 1024 * 1024, 2_000, 60_000);

    private final EventLog mLog;
    private final MetricsRegistry mMetrics;
    private final Scheduler mScheduler;
    private final TargetDirectory mDirectory;
    private final OutageAllowance mAllowance = new OutageAllowance(System::nanoTime);
    private final SpendingService mSpending;
    private final CallService mCalls;
    private final TargetFeed mTargetFeed;
    private final TableFollower mConfigFollower;
    private final TableFollower mTargetFollower;
    private final TargetRegistry mTargets;
    private final RelayingRowStore mStore;
    private final PeerDirectory mPeers;
    private final TableFollower mPeerFollower;
    private final HttpServer mPeerServer;
    private final HttpServer mCallerServer;
    private final HttpServer mReadinessServer;
    private final HttpServer mMetricsServer;
    private volatile GatewaySettings mSettings;
    private volatile boolean mStopping;

    // Life-cycle

    /** Creates a host that does nothing until it is started. */
    public GatewayHost(
            GatewaySettings settings,
            EventLoopGroup loops,
            RowStore store,
            PlatformTables tables,
            CallDialect dialect,
            EventLog log,
            MetricsRegistry metrics) {
        mSettings = settings;
        mLog = log;
        mMetrics = metrics;
        mScheduler = new LoopScheduler(loops.next());
        Random random = new Random();
        mPeers =
                new PeerDirectory(
                        loops.next(), settings.node(), settings.peers(), settings.seeds(), log);
        mStore = new RelayingRowStore(store, mPeers::stores, random);
        mTargets =
                new TargetRegistry(
                        new TurnPlacement(EngineTimes.DEFAULT, settings.zone()),
                        new CallPlacement(settings.zone(), random),
                        log);
        mDirectory =
                new TargetDirectory(
                        TimeUnit.MILLISECONDS.toNanos(settings.entryRenewalMillis()),
                        mTargets,
                        System.nanoTime());
        mSpending =
                new SpendingService(
                        mStore,
                        new PeerAllowanceIssuer(mPeers, mAllowance, log),
                        new WriteIds(random),
                        System::nanoTime);
        OwnAnswers answers = new OwnAnswers(dialect);
        mCalls =
                new CallService(
                        new CallContext(
                                dialect,
                                answers,
                                mTargets,
                                mSpending,
                                log,
                                new CallMetrics(metrics)));
        mTargetFeed = new TargetFeed(tables, mDirectory, System::nanoTime, log);
        mConfigFollower =
                new TableFollower(
                        mStore,
                        tables.configTable(),
                        mScheduler,
                        System::nanoTime,
                        random,
                        new ConfigFeed(tables, mCalls, mTargets, log));
        mTargetFollower =
                new TableFollower(
                        mStore,
                        tables.targetTable(),
                        mScheduler,
                        System::nanoTime,
                        random,
                        mTargetFeed);
        mPeerFollower =
                new TableFollower(
                        mStore, PeerDirectory.TABLE, mScheduler, System::nanoTime, random, mPeers);
        mPeerServer =
                new HttpServer(
                        loops,
                        () -> PEER_LIMITS,
                        new PeerHandler(store, mStore::isDirectFailing, mAllowance),
                        HttpResponses::empty);
        mCallerServer =
                new HttpServer(
                        loops, this::callerLimits, mCalls, status -> rejection(answers, status));
        mReadinessServer =
                new HttpServer(
                        loops, () -> INTERNAL_LIMITS, this::answerReadiness, HttpResponses::empty);
        mMetricsServer =
                new HttpServer(
                        loops, () -> INTERNAL_LIMITS, this::answerMetrics, HttpResponses::empty);
    }

    /**
     * Starts to follow the store and to serve callers.
     *
     * @return the address on which callers are served, which tells the port if 0 was asked for
     */
    public InetSocketAddress start() {
        mConfigFollower.start();
        mTargetFollower.start();
        mPeerFollower.start();
        mPeerServer.start(mSettings.peers());
        announce();
        mReadinessServer.start(mSettings.readiness());
        mMetricsServer.start(mSettings.metrics());
        InetSocketAddress callers = mCallerServer.start(mSettings.callers());
        mScheduler.schedule(UPKEEP_NANOS, this::upkeep);
        mLog.notice("started")
                .text("node", mSettings.node())
                .text("zone", mSettings.zone())
                .text("callers", callers.toString())
                .write();
        return callers;
    }

    /**
     * Stops gracefully: tells the load balancer, serves connections that are still used, and
     * returns when no call is under way or the time is up. Blocks; call on a thread of its own.
     */
    public void stop() {
        mStopping = true;
        mLog.notice("stopping")
                .text("node", mSettings.node())
                .number("connections", mCallerServer.connections())
                .number("busy", mCallerServer.busyConnections())
                .write();
        mCallerServer.drain();
        new GracefulStop(mSettings.graceMillis(), mCallerServer::busyConnections, this::refuseNew)
                .await();
        int cutOff = mCallerServer.busyConnections();
        mConfigFollower.stop();
        mTargetFollower.stop();
        mPeerFollower.stop();
        mPeerServer.stop();
        mCallerServer.stop();
        mReadinessServer.stop();
        mMetricsServer.stop();
        mLog.notice("stopped").text("node", mSettings.node()).number("cutOff", cutOff).write();
    }

    // Accessors

    /** Returns whether the load balancer may send new connections here. */
    public boolean isReady() {
        return !mStopping && mCalls.config().isPresent() && mTargetFeed.isComplete();
    }

    // Operations

    /** Takes over those settings that may change while the process runs, and names the others. */
    public void reconfigure(GatewaySettings settings) {
        GatewaySettings before = mSettings;
        mSettings = before.withChangeable(settings);
        mPeers.addSeeds(settings.seeds());
        mLog.notice("reloaded")
                .text("node", before.node())
                .number("graceMs", settings.graceMillis())
                .number("seeds", settings.seeds().size())
                .flag("restartNeeded", !mSettings.equals(settings))
                .write();
    }

    // Helpers

    private void refuseNew() {
        mCalls.refuseNew();
        mCallerServer.closeIdle();
    }

    // Whoever takes the node's name last is right, so the row is replaced without a condition.
    private void announce() {
        RowTransaction transaction =
                new RowTransaction(
                        List.of(),
                        List.of(new RowTransaction.Write(mPeers.row(), mPeers.announcement())),
                        List.of());
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        mScheduler.schedule(ANNOUNCE_RETRY_NANOS, this::announce);
                                    }
                                });
    }

    private void upkeep() {
        mStore.probe();
        mTargets.setHosts(1 + mPeers.size());
        mDirectory.dropExpired(System.nanoTime());
        mSpending.upkeep();
        mAllowance.dropIdle();
        mScheduler.schedule(UPKEEP_NANOS, this::upkeep);
    }

    private InboundLimits callerLimits() {
        CallerLimits limits =
                mCalls.config().map(TrafficConfig::limits).orElse(CallerLimits.DEFAULT);
        return new InboundLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private FullHttpResponse rejection(OwnAnswers answers, HttpResponseStatus status) {
        ResultCode code =
                switch (status.code()) {
                    case 413 -> ResultCode.BODY_TOO_LARGE;
                    case 431, 414 -> ResultCode.HEADER_TOO_LARGE;
                    case 408 -> ResultCode.REQUEST_TOO_SLOW;
                    default -> ResultCode.MALFORMED_REQUEST;
                };
        mLog.info("rejected").text("result", code.name()).number("status", status.code()).write();
        return answers.failure(new ResultException(code, code.summary()), "");
    }

    private void answerReadiness(InboundRequest request, ResponseWriter writer) {
        writer.respond(
                HttpResponses.empty(
                        isReady()
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE));
    }

    private void answerMetrics(InboundRequest request, ResponseWriter writer) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            mMetrics.writeText(text);
        } catch (IOException e) {
            throw new UncheckedIOException("a byte array cannot fail", e);
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(text.toByteArray()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, mMetrics.textContentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, text.size());
        writer.respond(response);
    }
}
