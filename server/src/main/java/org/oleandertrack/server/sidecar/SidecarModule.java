package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.net.URI;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleandertrack.core.fencing.FenceTable;
import org.oleandertrack.core.ledger.LedgerConfig;
import org.oleandertrack.core.ledger.MemoryLedger;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.NodeStatus;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Role;
import org.oleandertrack.server.http.AdminServlets;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.http.HttpServiceConfig;
import org.oleandertrack.server.http.MetricsServlet;
import org.oleandertrack.server.settings.PeerLimits;
import org.oleandertrack.server.settings.PeerSettings;
import org.oleandertrack.server.settings.SidecarSettings;
import org.oleandertrack.server.settings.TargetKind;
import org.oleandertrack.server.settings.TargetSettings;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guice module that assembles a sidecar from its settings. */
public final class SidecarModule extends AbstractModule {

    /**
     * Level of attained service time from which on a call counts as long. A program reaches level 2
     * when its calls have received four times the service time with which it reaches level 1.
     */
    private static final int LONG_CALL_LEVEL = 2;

    /**
     * Interval between polls of the engine, short compared with the 5 seconds after which an early
     * release is repeated.
     */
    private static final long CACHE_POLL_MILLIS = 500;

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final long SHUTDOWN_GRACE_MILLIS = 1_000;

    private final SidecarSettings mSettings;

    public SidecarModule(SidecarSettings settings) {
        mSettings = settings;
    }

    @Provides
    @Singleton
    LongSupplier nanoClock() {
        return System::nanoTime;
    }

    @Provides
    @Singleton
    LocalNode localNode() {
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        return new LocalNode(
                mSettings.node(),
                Role.ROLE_SIDECAR,
                incarnation,
                mSettings.zone(),
                mSettings.target().name());
    }

    /** Returns the flag that is set when the sidecar begins to shut down. */
    @Provides
    @Singleton
    AtomicBoolean leaving() {
        return new AtomicBoolean();
    }

    @Provides
    @Singleton
    ScheduledExecutorService timer() {
        return Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("call-timeouts").factory());
    }

    @Provides
    @Singleton
    CallScheduler callScheduler(LongSupplier nanoClock) {
        TargetSettings target = mSettings.target();
        int maxRunning = target.maxConcurrentCalls();
        QueueConfig config =
                QueueConfig.forSlots(maxRunning)
                        .withMaxEntries(target.maxQueuedCalls(), target.maxQueuedCalls())
                        .withLongCalls(
                                Math.min(maxRunning, target.maxLongCalls()), LONG_CALL_LEVEL);
        return new CallScheduler(config, OrganisationWeights.EQUAL, nanoClock);
    }

    @Provides
    @Singleton
    Supplier<HttpClient> httpClients() {
        Executor executor = Executors.newVirtualThreadPerTaskExecutor();
        return () ->
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .followRedirects(HttpClient.Redirect.NEVER)
                        .connectTimeout(
                                Duration.ofMillis(mSettings.target().connectTimeoutMillis()))
                        .executor(executor)
                        .build();
    }

    @Provides
    @Singleton
    TargetClient targetClient(Supplier<HttpClient> clients) {
        return new TargetClient(clients, URI.create(mSettings.target().url()), new ObjectMapper());
    }

    @Provides
    @Singleton
    SidecarCallHandler callHandler(
            TargetClient target,
            CallScheduler scheduler,
            FenceTable fences,
            AttemptRegistry attempts,
            EngineMemoryTracker memory,
            ScheduledExecutorService timer,
            LongSupplier nanoClock) {
        return new SidecarCallHandler(
                target, scheduler, fences, attempts, memory, timer, nanoClock);
    }

    @Provides
    @Singleton
    FenceTable fences() {
        return new FenceTable();
    }

    @Provides
    @Singleton
    AttemptRegistry attempts() {
        return new AttemptRegistry();
    }

    @Provides
    @Singleton
    MetricsRegistry metrics() {
        return new MetricsRegistry();
    }

    @Provides
    @Singleton
    Optional<EngineMemoryService> engineMemoryService(
            FenceTable fences,
            ScheduledExecutorService timer,
            LongSupplier nanoClock,
            MetricsRegistry metrics,
            Supplier<HttpClient> clients) {
        TargetSettings target = mSettings.target();
        if (target.kind() != TargetKind.MODEL || !target.releasesCache()) {
            return Optional.empty();
        }
        return Optional.of(
                new EngineMemoryService(
                        new EngineCacheClient(
                                clients, URI.create(target.url()), new ObjectMapper()),
                        new MemoryLedger(LedgerConfig.withIdleSeconds(target.cacheIdleSeconds())),
                        fences,
                        timer,
                        CACHE_POLL_MILLIS,
                        nanoClock,
                        metrics));
    }

    @Provides
    @Singleton
    EngineMemoryTracker engineMemory(Optional<EngineMemoryService> service) {
        return service.isPresent() ? service.get() : EngineMemoryTracker.NONE;
    }

    @Provides
    @Singleton
    SidecarControlHandler controlHandler(AttemptRegistry attempts, EngineMemoryTracker memory) {
        return new SidecarControlHandler(attempts, memory);
    }

    @Provides
    @Singleton
    PeerServer peerServer(
            LocalNode node,
            SidecarCallHandler calls,
            SidecarControlHandler control,
            CallScheduler scheduler,
            AtomicBoolean leaving,
            LongSupplier nanoClock) {
        PeerSettings peer = mSettings.peer();
        return new PeerServer(
                node,
                PeerLimits.from(peer),
                calls,
                control,
                nanoClock,
                () -> new NodeStatus(scheduler.load(), 0, 0, leaving.get()));
    }

    @Provides
    @Singleton
    HttpService http(AtomicBoolean leaving, MetricsRegistry metrics) {
        HttpServiceConfig config =
                new HttpServiceConfig(
                        "sidecar",
                        mSettings.http().address(),
                        Optional.empty(),
                        mSettings.http().adminPort(),
                        MAX_HEADER_BYTES,
                        IDLE_TIMEOUT_MILLIS,
                        SHUTDOWN_GRACE_MILLIS);
        return new HttpService(
                config,
                environment ->
                        AdminServlets.register(
                                environment, new MetricsServlet(metrics), () -> !leaving.get()));
    }

    @Provides
    @Singleton
    SidecarDaemon daemon(
            LocalNode node,
            PeerServer peerServer,
            SidecarCallHandler calls,
            CallScheduler scheduler,
            Optional<EngineMemoryService> memory,
            HttpService http,
            AtomicBoolean leaving,
            ScheduledExecutorService timer) {
        return new SidecarDaemon(
                mSettings, node, peerServer, calls, scheduler, memory, http, leaving, timer);
    }
}
