package org.oleandertrack.server.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.NodeStatus;
import org.oleandertrack.protocol.PeerConnector;
import org.oleandertrack.protocol.PeerServer;
import org.oleandertrack.protocol.message.Load;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.PeerLimits;

/** Guice bindings of the entry host's connections to other processes. */
final class EntryPeerModule extends AbstractModule {

    private final EntrySettings mSettings;

    EntryPeerModule(EntrySettings settings) {
        mSettings = settings;
    }

    @Provides
    @Singleton
    EntryControlHandler controlHandler(
            Provider<HostDirectory> hosts,
            Provider<ConfigService> config,
            Provider<EntryCoordination> coordination) {
        return new EntryControlHandler(hosts, config, coordination);
    }

    @Provides
    @Singleton
    PeerConnector connector(
            LocalNode node,
            EntryControlHandler control,
            ConfigSource config,
            CallLimiter limiter,
            LongSupplier nanoClock) {
        return new PeerConnector(
                node,
                PeerLimits.from(mSettings.peer()),
                control,
                nanoClock,
                () -> nodeStatus(config, limiter));
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
            ConfigSource config,
            CallLimiter limiter,
            LongSupplier nanoClock) {
        return new PeerServer(
                node,
                PeerLimits.from(mSettings.peer()),
                forwarded,
                control,
                nanoClock,
                () -> nodeStatus(config, limiter));
    }

    @Provides
    @Singleton
    Forwarder forwarder() {
        return new Forwarder();
    }

    @Provides
    @Singleton
    ForwardedCallHandler forwardedCalls(
            EntryCoordination coordination,
            LocalCallService calls,
            Provider<StatementService> statements,
            CallLimiter limiter,
            Executor executor,
            LongSupplier nanoClock) {
        return new ForwardedCallHandler(
                coordination.shardRegistry(), calls, statements, limiter, executor, nanoClock);
    }

    @Provides
    @Singleton
    EntryDaemon.EntryPeers peers(PeerServer server, PeerConnector connector, HostDirectory hosts) {
        return new EntryDaemon.EntryPeers(server, connector, hosts);
    }

    private static NodeStatus nodeStatus(ConfigSource config, CallLimiter limiter) {
        return new NodeStatus(
                Load.getDefaultInstance(),
                config.state().version(),
                config.confirmedAgeMillis(),
                limiter.isClosed());
    }
}
