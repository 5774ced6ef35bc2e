package org.oleandertrack.server.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.config.ConfigLog;
import org.oleandertrack.coordination.config.ConfigSettings;
import org.oleandertrack.coordination.config.SnapshotStore;
import org.oleandertrack.coordination.intent.IntentStore;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.coordination.membership.RowHostList;
import org.oleandertrack.coordination.program.ProgramStore;
import org.oleandertrack.coordination.schedule.ExecutorScheduler;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTableStore;
import org.oleandertrack.coordination.store.SizedRowStore;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.TimeLimitedObjectStore;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.http.PooledHttpClient;
import org.oleandertrack.platform.HttpObjectStore;
import org.oleandertrack.platform.HttpRowStore;
import org.oleandertrack.platform.StoreHttpClient;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.server.settings.EntrySettings;
import org.tinylog.Logger;

/** Guice bindings of the entry host's state: stores, leases, programs and configuration. */
final class EntryStateModule extends AbstractModule {

    /**
     * Tokens of a program's budget that the holder reserves in the store at a time. Enough for a
     * few turns, so that a turn rarely waits for a write to the store.
     */
    private static final long GRANT_TOKENS = 50_000;

    /** The table that holds members, shards, programs, intents and the configuration. */
    private static final String STATE_TABLE = "oleandertrack";

    /** One event loop is enough for the few tens of calls per second to the store. */
    private static final int STORE_LOOPS = 1;

    private static final int DEFAULT_HTTP_PORT = 80;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntrySettings mSettings;

    EntryStateModule(EntrySettings settings) {
        mSettings = settings;
    }

    // Platform

    @Provides
    @Singleton
    EventLoopGroup storeLoops() {
        return new MultiThreadIoEventLoopGroup(
                STORE_LOOPS, new DefaultThreadFactory("store", true), NioIoHandler.newFactory());
    }

    @Provides
    @Singleton
    HostList hostList(EventLoopGroup loops) {
        return new RowHostList(createRowStore(loops, mSettings.platform().hostsUrl()));
    }

    @Provides
    @Singleton
    TableStore tableStore(EventLoopGroup loops, Scheduler scheduler) {
        return new TimeLimitedTableStore(
                new RowTableStore(
                        createRowStore(loops, mSettings.platform().tableUrl()), STATE_TABLE),
                scheduler,
                TimeUnit.MILLISECONDS.toNanos(mSettings.platform().timeoutMillis()));
    }

    @Provides
    @Singleton
    ObjectStore objectStore(EventLoopGroup loops, Scheduler scheduler) {
        return new TimeLimitedObjectStore(
                new HttpObjectStore(
                        createStoreHttpClient(loops, mSettings.platform().objectUrl()),
                        mSettings.platform().timeoutMillis()),
                scheduler,
                TimeUnit.MILLISECONDS.toNanos(mSettings.platform().timeoutMillis()));
    }

    @Provides
    @Singleton
    Scheduler scheduler(ScheduledExecutorService timer) {
        return new ExecutorScheduler(timer);
    }

    // Coordination

    @Provides
    @Singleton
    EntryCoordination coordination(
            LocalNode node,
            TableStore table,
            ObjectStore objects,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        return new EntryCoordination(mSettings, node, table, objects, scheduler, nanoClock);
    }

    @Provides
    @Singleton
    ConfigService config(
            TableStore table,
            ObjectStore objects,
            EntryCoordination coordination,
            Scheduler scheduler,
            Provider<HostDirectory> hosts,
            LongSupplier nanoClock) {
        SecureRandom random = new SecureRandom();
        ConfigStateMachine configState = new ConfigStateMachine();
        ConfigLog log =
                new ConfigLog(
                        table,
                        new SnapshotStore(
                                table, objects, coordination.groupCommit(), nanoClock, random),
                        coordination.groupCommit(),
                        scheduler,
                        nanoClock,
                        random,
                        ConfigSettings.defaults(),
                        () -> hosts.get().countEntryHostsInZone(mSettings.zone()),
                        configState,
                        change ->
                                Logger.debug(
                                        "received configuration version {}", change.version()));
        return new ConfigService(log, configState, nanoClock);
    }

    @Provides
    ConfigSource configSource(ConfigService config) {
        return config;
    }

    @Provides
    ConfigWriter configWriter(ConfigService config) {
        return config;
    }

    @Provides
    @Singleton
    CallPreconditions preconditions(ConfigSource config, EntryCoordination coordination) {
        return new CallPreconditions(config, coordination.groupCommit());
    }

    // Programs

    @Provides
    @Singleton
    ProgramStore programStore(
            TableStore table, ObjectStore objects, EntryCoordination coordination) {
        return new ProgramStore(
                table, objects, coordination.groupCommit(), new SecureRandom(), GRANT_TOKENS);
    }

    @Provides
    @Singleton
    ProgramLimitEnforcer programLimitEnforcer(Provider<HostDirectory> hosts) {
        return new ProgramLimitEnforcer(
                new SidecarMemoryReleaser(hosts), System::currentTimeMillis);
    }

    @Provides
    @Singleton
    ProgramOpener programOpener(ProgramStore programs) {
        return new ProgramOpener(programs, System::currentTimeMillis);
    }

    @Provides
    @Singleton
    ProgramCallService programCalls(
            EntryCoordination coordination,
            ProgramStore programs,
            ProgramOpener opener,
            ProgramLimitEnforcer limitEnforcer,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock) {
        return new ProgramCallService(
                coordination.shardRegistry(),
                programs,
                opener,
                limitEnforcer,
                preconditions,
                dispatcher,
                nanoClock,
                new ProgramCallService.DurableCallConfig(
                        MAX_RESPONSE_BYTES,
                        mSettings.commit().deadlineMillis(),
                        RETRY_AFTER_MILLIS));
    }

    @Provides
    @Singleton
    IntentCallService intentCalls(
            TableStore table,
            ObjectStore objects,
            EntryCoordination coordination,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock) {
        return new IntentCallService(
                coordination.shardRegistry(),
                new IntentStore(table, objects, coordination.groupCommit(), new SecureRandom()),
                preconditions,
                dispatcher,
                nanoClock,
                durableCallConfig());
    }

    @Provides
    @Singleton
    ProgramEnder programEnder(
            EntryCoordination coordination,
            ProgramOpener opener,
            ProgramLimitEnforcer limitEnforcer,
            LongSupplier nanoClock) {
        return new LocalProgramEnder(
                coordination.shardRegistry(), opener, limitEnforcer, nanoClock);
    }

    // Helpers

    private RowStore createRowStore(EventLoopGroup loops, String url) {
        return new SizedRowStore(
                new HttpRowStore(
                        createStoreHttpClient(loops, url), mSettings.platform().timeoutMillis()));
    }

    private static StoreHttpClient createStoreHttpClient(EventLoopGroup loops, String url) {
        URI base = URI.create(url);
        if (!base.getScheme().equals("http")) {
            throw new ResultException(
                    ResultCode.SETTINGS_INVALID_VALUE,
                    "the client of the store has no TLS, so " + url + " must be an http URL");
        }
        int port = base.getPort() < 0 ? DEFAULT_HTTP_PORT : base.getPort();
        String host = base.getHost().replaceAll("[\\[\\]]", "");
        String path = base.getPath().replaceAll("/$", "");
        return new StoreHttpClient(
                new PooledHttpClient(loops.next(), new InetSocketAddress(host, port)), path);
    }

    private ProgramCallService.DurableCallConfig durableCallConfig() {
        return new ProgramCallService.DurableCallConfig(
                MAX_RESPONSE_BYTES, mSettings.commit().deadlineMillis(), RETRY_AFTER_MILLIS);
    }
}
