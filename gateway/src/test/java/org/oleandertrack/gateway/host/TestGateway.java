package org.oleandertrack.gateway.host;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.awaitility.Awaitility;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** A gateway in the test's process, with an in-memory store and the targets of the test. */
final class TestGateway implements AutoCloseable {

    private static final int MAX_LOG_LINES = 100_000;
    private static final int RESPONSE_MEMORY_BYTES = 1024 * 1024;

    private final ScheduledExecutorService mExecutor = Executors.newSingleThreadScheduledExecutor();
    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final MemoryRowStore mStore;
    private final GatewaySettings mSettings;
    private final GatewayHost mHost;
    private final InetSocketAddress mAddress;

    TestGateway(long graceMillis) {
        this(graceMillis, Optional.empty(), 0, OptionalLong.empty(), 0, List.of());
    }

    /** Creates a gateway on which keys count only while the configuration is known to be new. */
    TestGateway(OptionalLong revocationMillis) {
        this(1_000, Optional.empty(), 0, revocationMillis, 0, List.of());
    }

    /** Creates such a gateway with a store of its own and with a peer. */
    TestGateway(MemoryRowStore store, OptionalLong revocationMillis, int peerPort, int portOfPeer) {
        this(
                1_000,
                Optional.of(store),
                0,
                revocationMillis,
                peerPort,
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), portOfPeer)));
    }

    /** Creates a gateway that shares the store of another one. */
    TestGateway(MemoryRowStore store) {
        this(1_000, Optional.of(store), 0, OptionalLong.empty(), 0, List.of());
    }

    /** Creates a gateway that shares the store of another one and can be reached by its peers. */
    TestGateway(MemoryRowStore store, int peerPort) {
        this(10, Optional.of(store), 0, OptionalLong.empty(), peerPort, List.of());
    }

    private TestGateway(
            long graceMillis,
            Optional<MemoryRowStore> store,
            int hedgePercent,
            OptionalLong revocationMillis,
            int peerPort,
            List<InetSocketAddress> seeds) {
        mStore = store.orElseGet(() -> new MemoryRowStore(mExecutor));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mSettings =
                new GatewaySettings(
                        peerPort == 0 ? "node" : "node-" + peerPort,
                        "zone",
                        any,
                        any,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), peerPort),
                        seeds,
                        any,
                        graceMillis,
                        2_000,
                        MAX_LOG_LINES,
                        RESPONSE_MEMORY_BYTES,
                        hedgePercent,
                        revocationMillis,
                        Optional.empty());
        mHost =
                new GatewayHost(
                        mSettings,
                        mLoops,
                        mStore,
                        new TestTables(),
                        new TestHeaderCodec(),
                        new EventLog(mLines::writeBytes, Clock.systemUTC(), MAX_LOG_LINES),
                        new MetricsRegistry());
        mAddress = mHost.start();
    }

    /** Returns a configured gateway that knows the given targets of one service. */
    static TestGateway with(String service, ScriptedTarget... targets) {
        return with(1_000, service, targets);
    }

    /** Returns a configured gateway that knows the given targets and has the given grace period. */
    static TestGateway with(long graceMillis, String service, ScriptedTarget... targets) {
        return with(new TestGateway(graceMillis), service, targets);
    }

    /** Returns a configured gateway that hedges requests to the given targets. */
    static TestGateway hedging(
            int hedgePercent,
            OptionalLong revocationMillis,
            String service,
            ScriptedTarget... targets) {
        return with(
                new TestGateway(
                        1_000, Optional.empty(), hedgePercent, revocationMillis, 0, List.of()),
                service,
                targets);
    }

    private static TestGateway with(
            TestGateway gateway, String service, ScriptedTarget... targets) {
        gateway.configure(1);
        for (int i = 0; i < targets.length; i++) {
            gateway.register("t" + i, service, targets[i].port(), false);
        }
        gateway.awaitTargets(targets.length);
        return gateway;
    }

    MemoryRowStore store() {
        return mStore;
    }

    GatewaySettings settings() {
        return mSettings;
    }

    GatewayHost host() {
        return mHost;
    }

    void configure(long version) {
        configure(version, "");
    }

    /** Publishes a configuration with organisations, each with a space before its name and key. */
    void configure(long version, String organisations) {
        mStore.put(TestTables.CONFIG, "config", version + organisations);
        Awaitility.await().until(() -> logs().contains("\"configVersion\":" + version + ","));
    }

    void register(String id, String service, int port, boolean draining) {
        mStore.put(TestTables.TARGETS, id, service + " " + port + " " + draining + " 1");
    }

    void registerVersion(String id, String service, int port, String softwareVersion) {
        mStore.put(TestTables.TARGETS, id, service + " " + port + " false 1 " + softwareVersion);
    }

    void awaitTargets(int count) {
        Awaitility.await().until(() -> logs().split("\"target added\"", -1).length - 1 >= count);
    }

    /** Waits in a target's script until the test goes on. */
    static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    TestClient client() throws java.io.IOException {
        return new TestClient(mAddress);
    }

    /** Returns the log lines written so far. */
    String logs() {
        return mLines.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        mHost.stop();
        var _ = mLoops.shutdownGracefully();
        mExecutor.shutdownNow();
    }
}
