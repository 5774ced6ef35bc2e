package org.oleandertrack.server.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.dropwizard.core.setup.Environment;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import org.oleandertrack.command.CommandParser;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.message.Role;
import org.oleandertrack.server.http.AdminServlets;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.http.HttpServiceConfig;
import org.oleandertrack.server.http.MetricsServlet;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.telemetry.logging.DecisionLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guice bindings of the entry host. */
public final class EntryModule extends AbstractModule {

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long SHUTDOWN_GRACE_MILLIS = 5_000;

    private final EntrySettings mSettings;

    public EntryModule(EntrySettings settings) {
        mSettings = settings;
    }

    @Override
    protected void configure() {
        install(new EntryStateModule(mSettings));
        install(new EntryPeerModule(mSettings));
    }

    // Process

    @Provides
    @Singleton
    LongSupplier nanoClock() {
        return System::nanoTime;
    }

    @Provides
    @Singleton
    Executor callExecutor() {
        return Executors.newThreadPerTaskExecutor(Thread.ofVirtual().name("call-", 0).factory());
    }

    @Provides
    @Singleton
    ScheduledExecutorService timer() {
        return Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("timer").factory());
    }

    @Provides
    @Singleton
    LocalNode localNode() {
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        return new LocalNode(mSettings.node(), Role.ROLE_ENTRY, incarnation, mSettings.zone(), "");
    }

    /**
     * Returns the only registry of the process. With a second one, a metric could be registered
     * twice, and neither registration would count all of its events.
     */
    @Provides
    @Singleton
    MetricsRegistry metrics() {
        return new MetricsRegistry();
    }

    @Provides
    @Singleton
    CallLimiter callLimiter() {
        return new CallLimiter(
                mSettings.http().maxConcurrentCalls(), mSettings.http().maxBufferedBytes());
    }

    // Calls

    @Provides
    @Singleton
    TargetPools targetPools(Provider<ConfigSource> config, LongSupplier nanoClock) {
        // Each entry host has a seed of its own, so that not all of them choose the same target.
        SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
        return new TargetPools(
                () ->
                        new TargetPool(
                                mSettings.zone(),
                                () -> config.get().state().drainedTargets(),
                                random.split(),
                                nanoClock),
                new DecisionLog());
    }

    @Provides
    @Singleton
    Dispatcher dispatcher(TargetPools pools, LongSupplier nanoClock) {
        return new Dispatcher(pools, nanoClock, mSettings.calls().stallTimeoutMillis());
    }

    @Provides
    @Singleton
    ActiveCalls activeCalls(LongSupplier nanoClock) {
        return new ActiveCalls(nanoClock);
    }

    @Provides
    @Singleton
    LocalCallService localCalls(
            ActiveCalls active,
            ProgramCallService programs,
            IntentCallService intents,
            Dispatcher dispatcher,
            CallPreconditions preconditions,
            MetricsRegistry metrics,
            LongSupplier nanoClock) {
        return new LocalCallService(
                active,
                new LocalCallService.CallServices(
                        programs, intents, new StatelessCallService(dispatcher, preconditions)),
                metrics,
                nanoClock);
    }

    @Provides
    @Singleton
    CallRouter callRouter(
            EntryCoordination coordination,
            HostDirectory hosts,
            LocalCallService calls,
            Forwarder forwarder,
            LongSupplier nanoClock) {
        return new CallRouter(coordination.shardRegistry(), hosts, calls, forwarder, nanoClock);
    }

    // Operators' interface

    @Provides
    @Singleton
    QueryService queries(
            LocalNode node,
            ActiveCalls active,
            HostDirectory hosts,
            EntryCoordination coordination,
            ConfigSource config,
            LongSupplier nanoClock) {
        return new QueryService(
                node,
                active,
                hosts,
                coordination.shardRegistry(),
                coordination.shardOwnership(),
                mSettings.shards().count(),
                config,
                nanoClock);
    }

    @Provides
    @Singleton
    StatementService statements(
            QueryService queries,
            HostDirectory hosts,
            Forwarder forwarder,
            ConfigWriter config,
            ProgramEnder ender,
            LongSupplier nanoClock) {
        return new StatementService(
                new CommandParser(),
                queries,
                hosts,
                new PeerStatementClient(forwarder, nanoClock),
                config,
                ender);
    }

    // HTTP

    @Provides
    @Singleton
    HttpService http(
            Provider<CallRouter> calls,
            Provider<StatementService> statements,
            CallLimiter limiter,
            Executor executor,
            HostDirectory hosts,
            EntryCoordination coordination,
            ConfigSource config,
            MetricsRegistry metrics) {
        HttpServiceConfig httpConfig =
                new HttpServiceConfig(
                        "entry",
                        mSettings.http().address(),
                        Optional.of(mSettings.http().port()),
                        mSettings.http().adminPort(),
                        mSettings.http().maxHeaderBytes(),
                        IDLE_TIMEOUT_MILLIS,
                        SHUTDOWN_GRACE_MILLIS);
        return new HttpService(
                httpConfig,
                environment -> {
                    registerResources(
                            environment,
                            new CallResponder(calls.get(), limiter, executor),
                            statements.get());
                    AdminServlets.register(
                            environment,
                            new MetricsServlet(metrics),
                            () ->
                                    hosts.isHostListRead()
                                            && coordination.isReady()
                                            && config.isCurrent()
                                            && !limiter.isClosed());
                });
    }

    @Provides
    @Singleton
    EntryDaemon daemon(
            LocalNode node,
            HttpService http,
            EntryDaemon.EntryPeers peers,
            EntryCoordination coordination,
            ConfigService config,
            CallLimiter limiter,
            ScheduledExecutorService timer) {
        return new EntryDaemon(mSettings, node, http, peers, coordination, config, limiter, timer);
    }

    // Helpers

    private void registerResources(
            Environment environment, CallResponder responder, StatementService statements) {
        ObjectMapper mapper = new ObjectMapper();
        CallerRequestFactory requests =
                new CallerRequestFactory(
                        mapper,
                        mSettings.calls().defaultTimeoutMillis(),
                        mSettings.calls().defaultMaxTokens());
        RequestBodyReader bodies = new RequestBodyReader(mSettings.http().maxBodyBytes());
        environment.jersey().register(new ModelResource(requests, bodies, responder));
        environment.jersey().register(new StatementResource(statements, bodies, mapper));
        environment
                .jersey()
                .getResourceConfig()
                .registerResources(
                        new ServiceResourceFactory(requests, bodies, responder).create());
        environment.jersey().register(new ResultExceptionMapper());
        environment.jersey().register(new UnexpectedExceptionMapper());
    }
}
