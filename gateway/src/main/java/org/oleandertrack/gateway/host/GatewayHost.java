package org.oleandertrack.gateway.host;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.core.metrics.Gauge;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.conversation.ConversationLimits;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.feed.TableFollower;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.quarantine.QuarantineService;
import org.oleandertrack.coordination.relay.RelayingRowStore;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.SizedRowStore;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.stream.SoftwareVersions;
import org.oleandertrack.coordination.stream.StreamOriginService;
import org.oleandertrack.core.discovery.TargetDirectory;
import org.oleandertrack.core.health.HedgeSchedule;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.ForwardWallClock;
import org.oleandertrack.core.organisation.KeyAdmission;
import org.oleandertrack.core.organisation.RevocationBound;
import org.oleandertrack.core.quarantine.AnsweredPaths;
import org.oleandertrack.core.rate.TargetPacers;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.CallerLimits;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.gateway.call.CallContext;
import org.oleandertrack.gateway.call.CallHandler;
import org.oleandertrack.gateway.call.CallMetrics;
import org.oleandertrack.gateway.call.CallerAdmission;
import org.oleandertrack.gateway.call.GatewayResponses;
import org.oleandertrack.gateway.call.HeaderCodec;
import org.oleandertrack.gateway.call.HedgeMetrics;
import org.oleandertrack.gateway.call.Hedging;
import org.oleandertrack.gateway.call.ResponseMemory;
import org.oleandertrack.gateway.call.StopAdmission;
import org.oleandertrack.gateway.call.TurnUrgency;
import org.oleandertrack.gateway.peer.FilteredRowStore;
import org.oleandertrack.gateway.peer.PeerAllowanceIssuer;
import org.oleandertrack.gateway.peer.PeerConfiguration;
import org.oleandertrack.gateway.peer.PeerConfirmations;
import org.oleandertrack.gateway.peer.PeerConversations;
import org.oleandertrack.gateway.peer.PeerCrashReports;
import org.oleandertrack.gateway.peer.PeerDirectory;
import org.oleandertrack.gateway.peer.PeerHandler;
import org.oleandertrack.gateway.peer.PeerPermitIssuer;
import org.oleandertrack.gateway.peer.PeerStreamOrigins;
import org.oleandertrack.gateway.targets.RegisteredTargets;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.http.HttpResponses;
import org.oleandertrack.http.HttpServer;
import org.oleandertrack.http.InboundLimits;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Builds the components of a gateway process, and starts and stops them. */
public final class GatewayHost {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MAINTENANCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long ANNOUNCE_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    // Number of answered paths that are remembered; a path takes about 100 bytes.
    private static final int ANSWERED_PATHS = 4_096;
    // Limits of the servers for readiness and metrics, whose clients belong to the platform.
    private static final InboundLimits INTERNAL_LIMITS =
            new InboundLimits(8_192, 8_192, 2_000, 60_000);

    // The largest request of a peer is a transaction with the rows of a turn, to be relayed to the
    // store, or such a turn to be held.
    private static final InboundLimits PEER_LIMITS =
            new InboundLimits(8_192, 2 * 1024 * 1024, 2_000, 60_000);

    private final EventLog mLog;
    private final MetricsRegistry mMetrics;
    private final Scheduler mScheduler;
    private final TargetDirectory mTargetDirectory;
    private final OutageAllowances mOwnAllowances = new OutageAllowances(System::nanoTime);
    private final TargetPacers mOwnPacers;
    private final PeerPermitIssuer mPermits;
    private final OrganisationLimits mOrganisationLimits;
    private final QuarantineService mQuarantine;
    private final TableFollower mQuarantineFollower;
    private final Gauge mQuarantinedRequests;
    private final SpendingService mSpending;
    private final StreamOriginService mStreamOrigins;
    private final ConversationService mConversations;
    private final LongSupplier mWallClock =
            new ForwardWallClock(System::nanoTime, System::currentTimeMillis);
    private final ConfigFreshness mFreshness = new ConfigFreshness(System::nanoTime, mWallClock);
    private final Optional<PeerConfirmations> mConfirmations;
    private final Gauge mConfigVersion;
    private final Gauge mConfigAge;
    private final StopAdmission mStopAdmission = new StopAdmission(System::nanoTime);
    private final CallHandler mCallHandler;
    private final TargetFeed mTargetFeed;
    private final TableFollower mConfigFollower;
    private final TableFollower mTargetFollower;
    private final TargetRegistry mTargets;
    private final RegisteredTargets mRegisteredTargets;
    private final StorePacing mPacing;
    private final RelayingRowStore mRelay;
    // Makes its calls through the relay, within the limits of the platform's store.
    private final RowStore mStore;
    private final PeerDirectory mPeers;
    private final TableFollower mPeerFollower;
    private final HttpServer mPeerServer;
    private final HttpServer mCallerServer;
    private final HttpServer mReadinessServer;
    private final HttpServer mMetricsServer;
    private volatile GatewaySettings mSettings;
    private volatile boolean mStopping;
    private final AtomicBoolean mStopBegun = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);

    // Life-cycle

    /** Creates a gateway that is not started. */
    public GatewayHost(
            GatewaySettings settings,
            EventLoopGroup loops,
            RowStore store,
            PlatformTables tables,
            HeaderCodec headerCodec,
            EventLog log,
            MetricsRegistry metrics) {
        mSettings = settings;
        mLog = log;
        mMetrics = metrics;
        mScheduler = new LoopScheduler(loops.next());
        Random random = new Random();
        mPeers =
                new PeerDirectory(
                        loops.next(),
                        settings.nodeName(),
                        settings.peerAddress(),
                        settings.seedAddresses(),
                        log);
        mOwnPacers = new TargetPacers(random);
        mPermits = new PeerPermitIssuer(mPeers, mOwnPacers, random, log);
        mOrganisationLimits = makeOrganisationLimits(random);
        mPacing = makePacing(store);
        mRelay = makeRelayingStore(random);
        mStore = new SizedRowStore(mRelay);
        mTargets =
                new TargetRegistry(
                        new TurnPlacement(settings.zone()),
                        new CallPlacement(settings.zone(), random),
                        log);
        SoftwareVersions versions =
                new SoftwareVersions(mStore, mScheduler, new StreamOriginLog(log));
        mRegisteredTargets = new RegisteredTargets(versions, mTargets);
        mTargetDirectory =
                new TargetDirectory(
                        TimeUnit.MILLISECONDS.toNanos(settings.entryRenewalMillis()),
                        mRegisteredTargets,
                        System.nanoTime());
        mQuarantine =
                new QuarantineService(
                        mStore,
                        new PeerCrashReports(mPeers, log),
                        System::currentTimeMillis,
                        new QuarantineLog(log));
        mQuarantinedRequests = metrics.gauge(Metric.QUARANTINED_REQUESTS);
        mSpending = makeSpending(random);
        mStreamOrigins = makeStreamOrigins(versions, random);
        mConversations = makeConversations(random);
        GatewayResponses gatewayResponses = new GatewayResponses(headerCodec);
        mCallHandler = makeCallHandler(headerCodec, gatewayResponses);
        mTargetFeed = new TargetFeed(tables, mTargetDirectory, System::nanoTime, log);
        ConfigFeed configFeed =
                new ConfigFeed(
                        tables, mCallHandler, mTargets, mOrganisationLimits, mFreshness, log);
        Optional<RevocationBound> bound = settings.revocationBound();
        mConfigFollower =
                follow(
                        tables.configTable(),
                        bound.map(RevocationBound::answerIntervalMillis)
                                .orElse(TableFollower.MAX_WAIT_MILLIS),
                        configFeed,
                        random);
        mConfirmations =
                bound.map(
                        value ->
                                new PeerConfirmations(
                                        value, mPeers, mFreshness, configFeed, random, log));
        mConfigVersion = metrics.gauge(Metric.CONFIGURATION_VERSION);
        mConfigAge = metrics.gauge(Metric.CONFIGURATION_AGE);
        mTargetFollower = follow(tables.targetTable(), mTargetFeed, random);
        mPeerFollower = follow(PeerDirectory.TABLE, mPeers, random);
        mQuarantineFollower = follow(QuarantineService.TABLE, mQuarantine, random);
        mPeerServer =
                makePeerServer(
                        loops,
                        new FilteredRowStore(mPacing.store(), tables::withoutSecrets),
                        configFeed);
        mCallerServer = makeCallerServer(loops, gatewayResponses);
        mReadinessServer =
                new HttpServer(
                        loops, () -> INTERNAL_LIMITS, this::respondReadiness, HttpResponses::empty);
        mMetricsServer =
                new HttpServer(
                        loops, () -> INTERNAL_LIMITS, this::respondMetrics, HttpResponses::empty);
    }

    /**
     * Starts to follow the store and to serve callers, peers, readiness and metrics.
     *
     * @return the address on which callers are served, with the actual port if port 0 was
     *     configured
     */
    public InetSocketAddress start() {
        mConfigFollower.start();
        mTargetFollower.start();
        mPeerFollower.start();
        mQuarantineFollower.start();
        mPeerServer.start(mSettings.peerAddress());
        announce();
        mReadinessServer.start(mSettings.readinessAddress());
        mMetricsServer.start(mSettings.metricsAddress());
        InetSocketAddress callerAddress = mCallerServer.start(mSettings.callerAddress());
        mScheduler.schedule(MAINTENANCE_INTERVAL_NANOS, this::runMaintenance);
        mLog.notice("started")
                .text("node", mSettings.nodeName())
                .text("zone", mSettings.zone())
                .text("callers", callerAddress.toString())
                .write();
        return callerAddress;
    }

    /**
     * Stops gracefully: reports that the process is not ready, completes calls in progress, ends
     * those that are left shortly before the grace period is over, and returns. Blocks, so it must
     * not be called on an event loop. If a stop has begun, waits until it has ended.
     */
    public void stop() {
        if (!mStopBegun.compareAndSet(false, true)) {
            awaitStopped();
            return;
        }
        try {
            runStop();
        } finally {
            mStopped.countDown();
        }
    }

    private void awaitStopped() {
        try {
            mStopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runStop() {
        mStopping = true;
        StopSchedule schedule = StopSchedule.of(mSettings.graceMillis());
        mStopAdmission.beginStop(schedule.endCallsMillis());
        mLog.notice("stopping")
                .text("node", mSettings.nodeName())
                .number("connections", mCallerServer.connectionCount())
                .number("busy", mCallerServer.busyConnectionCount())
                .write();
        mCallerServer.drain();
        StoppingHost host = new StoppingHost();
        new GracefulStop(schedule, host).awaitCompletion();
        int interruptedConnectionCount = mCallerServer.busyConnectionCount();
        mConfigFollower.stop();
        mTargetFollower.stop();
        mPeerFollower.stop();
        mQuarantineFollower.stop();
        mPeerServer.stop();
        mCallerServer.stop();
        mReadinessServer.stop();
        mMetricsServer.stop();
        mLog.notice("stopped")
                .text("node", mSettings.nodeName())
                .number("ended", host.endedConnectionCount())
                .number("cutOff", interruptedConnectionCount)
                .write();
    }

    // Accessors

    /** Returns whether the load balancer may send new connections to this process. */
    public boolean isReady() {
        return !mStopping
                && mCallHandler.config().isPresent()
                && mTargetFeed.isComplete()
                && mRegisteredTargets.hasSettled()
                && mQuarantine.isComplete();
    }

    // Operations

    /**
     * Applies those settings that may change at run time. Logs whether other settings differ too,
     * because these take effect only after a restart.
     */
    public void reconfigure(GatewaySettings settings) {
        GatewaySettings previous = mSettings;
        mSettings = previous.withReloadable(settings);
        mPeers.addSeeds(settings.seedAddresses());
        mLog.notice("reloaded")
                .text("node", previous.nodeName())
                .number("graceMs", settings.graceMillis())
                .number("seeds", settings.seedAddresses().size())
                .flag("restartNeeded", !mSettings.equals(settings))
                .write();
    }

    // Helpers

    private TableFollower follow(String table, TableListener listener, Random random) {
        return follow(table, TableFollower.MAX_WAIT_MILLIS, listener, random);
    }

    private TableFollower follow(
            String table, long maxWaitMillis, TableListener listener, Random random) {
        return new TableFollower(
                mStore,
                table,
                maxWaitMillis,
                mScheduler,
                System::nanoTime,
                mWallClock,
                random,
                listener);
    }

    private CallHandler makeCallHandler(
            HeaderCodec headerCodec, GatewayResponses gatewayResponses) {
        CallMetrics callMetrics = new CallMetrics(mMetrics);
        return new CallHandler(
                new CallContext(
                        headerCodec,
                        gatewayResponses,
                        mTargetDirectory,
                        mTargets,
                        mPermits,
                        mSpending,
                        mQuarantine,
                        new AnsweredPaths(ANSWERED_PATHS),
                        mStreamOrigins,
                        mConversations,
                        mStopAdmission,
                        new TurnUrgency(
                                config -> config.organisations().isKeyRequired(),
                                mLog,
                                callMetrics),
                        new ResponseMemory(mSettings.responseMemoryBytes()),
                        makeHedging(mSettings, mMetrics),
                        mLog,
                        callMetrics),
                new CallerAdmission(
                        headerCodec,
                        new KeyAdmission(mSettings.revocationBound()),
                        mFreshness,
                        mOrganisationLimits.limiter()));
    }

    private HttpServer makeCallerServer(EventLoopGroup loops, GatewayResponses gatewayResponses) {
        return new HttpServer(
                loops,
                this::callerLimits,
                mCallHandler,
                status -> makeRejection(gatewayResponses, status));
    }

    private HttpServer makePeerServer(
            EventLoopGroup loops, RowStore directStore, PeerConfiguration configuration) {
        return new HttpServer(
                loops,
                () -> PEER_LIMITS,
                new PeerHandler(
                        directStore,
                        mRelay::isDirectFailing,
                        mOwnAllowances,
                        mConversations,
                        mOwnPacers,
                        mQuarantine,
                        mStreamOrigins,
                        mOrganisationLimits.permitService(),
                        mFreshness,
                        configuration),
                HttpResponses::empty);
    }

    private OrganisationLimits makeOrganisationLimits(Random random) {
        return OrganisationLimits.create(
                mPeers, mSettings.nodeName(), random, mScheduler, mLog, mMetrics);
    }

    private StorePacing makePacing(RowStore store) {
        return new StorePacing(
                store, mSettings.storeLimits(), mPeers::peerCount, mScheduler, mLog, mMetrics);
    }

    private RelayingRowStore makeRelayingStore(Random random) {
        return new RelayingRowStore(
                mPacing.store(), mPeers::relayStores, random, new StoreCallLog(mLog, mMetrics));
    }

    private static Optional<Hedging> makeHedging(
            GatewaySettings settings, MetricsRegistry metrics) {
        return settings.hedgePercent() == 0
                ? Optional.empty()
                : Optional.of(
                        new Hedging(
                                new HedgeSchedule(settings.hedgePercent()),
                                new HedgeMetrics(metrics)));
    }

    private SpendingService makeSpending(Random random) {
        return new SpendingService(
                mStore,
                mPacing.rate(),
                new PeerAllowanceIssuer(mPeers, mOwnAllowances, mLog),
                new WriteIds(random),
                mScheduler,
                System::nanoTime,
                random);
    }

    private StreamOriginService makeStreamOrigins(SoftwareVersions versions, Random random) {
        return new StreamOriginService(
                mStore,
                mPacing.rate(),
                versions,
                new PeerStreamOrigins(mPeers, mLog),
                mScheduler,
                System::nanoTime,
                System::currentTimeMillis,
                random,
                new StreamOriginLog(mLog));
    }

    private ConversationService makeConversations(Random random) {
        return new ConversationService(
                mStore,
                mPacing.rate(),
                new PeerConversations(mPeers, mLog),
                mScheduler,
                System::nanoTime,
                System::currentTimeMillis,
                random,
                new ConversationLog(mLog),
                ConversationLimits.DEFAULT);
    }

    // The row is replaced without a condition: if two processes use the same node name, the one
    // that started last is the current one.
    private void announce() {
        RowTransaction transaction =
                new RowTransaction(
                        List.of(),
                        List.of(
                                new RowTransaction.Write(
                                        mPeers.announcementRowId(), mPeers.announcementValue())),
                        List.of());
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        mScheduler.schedule(
                                                ANNOUNCE_RETRY_DELAY_NANOS, this::announce);
                                    }
                                });
    }

    private void runMaintenance() {
        mRelay.probe();
        mConfirmations.ifPresent(PeerConfirmations::runMaintenance);
        mCallHandler.config().ifPresent(config -> mConfigVersion.set((double) config.version()));
        mFreshness.ageMillis().ifPresent(millis -> mConfigAge.set(millis / MILLIS_PER_SECOND));
        mPacing.runMaintenance();
        mTargets.setHostCount(1 + mPeers.peerCount());
        mTargetDirectory.dropExpired(System.nanoTime());
        mSpending.runMaintenance();
        mOwnAllowances.dropIdle();
        mPermits.dropIdle(System.nanoTime());
        mOrganisationLimits.runMaintenance();
        mQuarantine.runMaintenance();
        mQuarantinedRequests.set(mQuarantine.quarantinedCount());
        mStreamOrigins.runMaintenance();
        mConversations.runMaintenance();
        mScheduler.schedule(MAINTENANCE_INTERVAL_NANOS, this::runMaintenance);
    }

    private InboundLimits callerLimits() {
        CallerLimits limits =
                mCallHandler.config().map(TrafficConfig::limits).orElse(CallerLimits.DEFAULT);
        return new InboundLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private FullHttpResponse makeRejection(
            GatewayResponses gatewayResponses, HttpResponseStatus status) {
        ResultCode code =
                switch (status.code()) {
                    case 413 -> ResultCode.BODY_TOO_LARGE;
                    case 431, 414 -> ResultCode.HEADER_TOO_LARGE;
                    case 408 -> ResultCode.REQUEST_TOO_SLOW;
                    case 503 -> ResultCode.SHUTTING_DOWN;
                    default -> ResultCode.MALFORMED_REQUEST;
                };
        mLog.info("rejected").text("result", code.name()).number("status", status.code()).write();
        return gatewayResponses.makeErrorResponse(new ResultException(code, code.summary()), "");
    }

    private void respondReadiness(InboundRequest request, ResponseWriter writer) {
        writer.respond(
                HttpResponses.empty(
                        isReady()
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE));
    }

    private void respondMetrics(InboundRequest request, ResponseWriter writer) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            mMetrics.writeText(text);
        } catch (IOException e) {
            throw new UncheckedIOException("writing metrics to a byte array failed", e);
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

    /** What a graceful stop does with this gateway. */
    private final class StoppingHost implements GracefulStop.Host {
        private int mEndedConnectionCount;

        int endedConnectionCount() {
            return mEndedConnectionCount;
        }

        @Override
        public boolean isBusy() {
            return mCallerServer.busyConnectionCount() > 0;
        }

        @Override
        public void refuseNewCalls() {
            mStopAdmission.close();
            mCallerServer.closeIdle();
        }

        @Override
        public void endCalls() {
            mEndedConnectionCount = mCallerServer.busyConnectionCount();
            mCallerServer.shutDown();
        }

        @Override
        public boolean isConnected() {
            return mCallerServer.connectionCount() > 0;
        }
    }
}
