package org.oleandertrack.server.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.dropwizard.core.setup.Environment;
import java.net.URI;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.platform.http.HttpHostList;
import org.oleandertrack.platform.http.PlatformHttpContext;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.NodeStatus;
import org.oleandertrack.protocol.PeerConnector;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Load;
import org.oleandertrack.protocol.message.Role;
import org.oleandertrack.server.http.AdminServlets;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.http.HttpServiceConfig;
import org.oleandertrack.server.logging.DecisionLog;
import org.oleandertrack.server.metrics.MetricsRegistry;
import org.oleandertrack.server.metrics.MetricsServlet;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.PeerLimits;

/** Puts the parts of the entry host together. */
public final class EntryModule extends AbstractModule {

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long SHUTDOWN_GRACE_MILLIS = 5_000;

    private final EntrySettings mSettings;

    public EntryModule(EntrySettings settings) {
        mSettings = settings;
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
    LocalNode localNode() {
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        return new LocalNode(mSettings.node(), Role.ROLE_ENTRY, incarnation, mSettings.zone(), "");
    }

    @Provides
    @Singleton
    CallLimiter callLimiter() {
        return new CallLimiter(
                mSettings.http().maxConcurrentCalls(), mSettings.http().maxBufferedBytes());
    }

    // Platform

    @Provides
    @Singleton
    PlatformHttpContext platform() {
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofMillis(mSettings.platform().timeoutMillis()))
                        .build();
        return new PlatformHttpContext(client, mSettings.platform().timeoutMillis());
    }

    @Provides
    @Singleton
    HostList hostList(PlatformHttpContext platform) {
        return new HttpHostList(platform, URI.create(mSettings.platform().hostsUrl()));
    }

    // Peers

    @Provides
    @Singleton
    EntryControlHandler controlHandler(Provider<HostDirectory> hosts) {
        return new EntryControlHandler(hosts);
    }

    @Provides
    @Singleton
    PeerConnector connector(LocalNode node, EntryControlHandler control, LongSupplier nanoClock) {
        return new PeerConnector(node, PeerLimits.from(mSettings.peer()), control, nanoClock);
    }

    @Provides
    @Singleton
    HostDirectory hosts(HostList hostList, PeerConnector connector, TargetPools pools) {
        return new HostDirectory(
                hostList,
                connector,
                mSettings.node(),
                mSettings.platform().hostsPollMillis(),
                pools);
    }

    @Provides
    @Singleton
    PeerServer peerServer(
            LocalNode node,
            ForwardedCallHandler forwarded,
            EntryControlHandler control,
            LongSupplier nanoClock) {
        return new PeerServer(
                node,
                PeerLimits.from(mSettings.peer()),
                forwarded,
                control,
                nanoClock,
                () -> new NodeStatus(Load.getDefaultInstance(), 0, 0, false));
    }

    // Calls

    @Provides
    @Singleton
    TargetPools targetPools(LongSupplier nanoClock) {
        // Entry hosts draw differently, so that they do not all choose the same target.
        SplittableRandom seeds = new SplittableRandom(new SecureRandom().nextLong());
        return new TargetPools(
                () -> new TargetPool(mSettings.zone(), seeds.split(), nanoClock),
                new DecisionLog());
    }

    @Provides
    @Singleton
    Dispatcher dispatcher(TargetPools pools, LongSupplier nanoClock) {
        return new Dispatcher(pools, nanoClock, mSettings.calls().stallTimeoutMillis());
    }

    @Provides
    @Singleton
    ShardDirectory shards() {
        return new SingleHostShardDirectory(mSettings.shards().count());
    }

    @Provides
    @Singleton
    DirectCallService directCalls(
            Dispatcher dispatcher, ShardDirectory shards, LongSupplier nanoClock) {
        return new DirectCallService(dispatcher, shards, nanoClock);
    }

    @Provides
    @Singleton
    ForwardedCallHandler forwardedCalls(
            ShardDirectory shards,
            DirectCallService calls,
            CallLimiter limiter,
            Executor executor,
            LongSupplier nanoClock) {
        return new ForwardedCallHandler(shards, calls, limiter, executor, nanoClock);
    }

    @Provides
    @Singleton
    CallRouter callRouter(
            ShardDirectory shards,
            HostDirectory hosts,
            DirectCallService calls,
            LongSupplier nanoClock) {
        return new CallRouter(shards, hosts, calls, new Forwarder(), nanoClock);
    }

    // Callers' interface

    @Provides
    @Singleton
    HttpService http(
            CallRouter calls,
            CallLimiter limiter,
            Executor executor,
            HostDirectory hosts,
            MetricsRegistry metrics) {
        HttpServiceConfig config =
                new HttpServiceConfig(
                        "entry",
                        mSettings.http().address(),
                        Optional.of(mSettings.http().port()),
                        mSettings.http().adminPort(),
                        mSettings.http().maxHeaderBytes(),
                        IDLE_TIMEOUT_MILLIS,
                        SHUTDOWN_GRACE_MILLIS);
        return new HttpService(
                config,
                environment -> {
                    registerResources(environment, calls, limiter, executor);
                    AdminServlets.register(
                            environment, new MetricsServlet(metrics), hosts::isListed);
                });
    }

    @Provides
    @Singleton
    EntryDaemon daemon(
            LocalNode node,
            HttpService http,
            PeerServer peerServer,
            PeerConnector connector,
            HostDirectory hosts,
            CallLimiter limiter) {
        return new EntryDaemon(mSettings, node, http, peerServer, connector, hosts, limiter);
    }

    // Helpers

    private void registerResources(
            Environment environment, CallRouter calls, CallLimiter limiter, Executor executor) {
        CallerRequestFactory requests =
                new CallerRequestFactory(
                        new ObjectMapper(),
                        mSettings.calls().defaultTimeoutMillis(),
                        mSettings.calls().defaultMaxTokens());
        RequestBodyReader bodies = new RequestBodyReader(mSettings.http().maxBodyBytes());
        CallResponder responder = new CallResponder(calls, limiter, executor);
        environment.jersey().register(new ModelResource(requests, bodies, responder));
        environment
                .jersey()
                .getResourceConfig()
                .registerResources(
                        new ServiceResourceFactory(requests, bodies, responder).create());
        environment.jersey().register(new ResultExceptionMapper());
        environment.jersey().register(new UnexpectedExceptionMapper());
    }
}
