package org.oleandertrack.server.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.net.URI;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.config.ConfigLog;
import org.oleandertrack.coordination.config.ConfigSettings;
import org.oleandertrack.coordination.config.SnapshotStore;
import org.oleandertrack.coordination.intent.IntentStore;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.coordination.program.ProgramStore;
import org.oleandertrack.coordination.schedule.ExecutorScheduler;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.TimeLimitedObjectStore;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;
import org.oleandertrack.platform.http.HttpHostList;
import org.oleandertrack.platform.http.HttpObjectStore;
import org.oleandertrack.platform.http.HttpTableStore;
import org.oleandertrack.platform.http.PlatformHttpContext;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.server.settings.EntrySettings;
import org.tinylog.Logger;

/** The entry host's lasting state: platform, leases, programs and configuration. */
final class EntryStateModule extends AbstractModule {

    /** Covers a few turns, so that a turn rarely waits for a grant of its own. */
    private static final long GRANT_TOKENS = 50_000;

    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntrySettings mSettings;

    EntryStateModule(EntrySettings settings) {
        mSettings = settings;
    }

    // Platform

    @Provides
    @Singleton
    PlatformHttpContext platform() {
        long timeoutMillis = mSettings.platform().timeoutMillis();
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofMillis(timeoutMillis))
                        .build();
        return new PlatformHttpContext(client, timeoutMillis);
    }

    @Provides
    @Singleton
    HostList hostList(PlatformHttpContext platform) {
        return new HttpHostList(platform, URI.create(mSettings.platform().hostsUrl()));
    }

    @Provides
    @Singleton
    TableStore tableStore(PlatformHttpContext platform, Scheduler scheduler) {
        return new TimeLimitedTableStore(
                new HttpTableStore(platform, URI.create(mSettings.platform().tableUrl())),
                scheduler,
                TimeUnit.MILLISECONDS.toNanos(mSettings.platform().timeoutMillis()));
    }

    @Provides
    @Singleton
    ObjectStore objectStore(PlatformHttpContext platform, Scheduler scheduler) {
        return new TimeLimitedObjectStore(
                new HttpObjectStore(platform, URI.create(mSettings.platform().objectUrl())),
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
        FoldedConfig folded = new FoldedConfig();
        ConfigLog log =
                new ConfigLog(
                        table,
                        new SnapshotStore(table, objects, coordination.commit(), nanoClock, random),
                        coordination.commit(),
                        scheduler,
                        nanoClock,
                        random,
                        ConfigSettings.defaults(),
                        () -> hosts.get().entryHostsInZone(mSettings.zone()),
                        folded,
                        change -> Logger.debug("taken configuration {}", change.version()));
        return new ConfigService(log, folded, nanoClock);
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
        return new CallPreconditions(config, coordination.commit());
    }

    // Programs

    @Provides
    @Singleton
    ProgramStore programStore(
            TableStore table, ObjectStore objects, EntryCoordination coordination) {
        return new ProgramStore(
                table, objects, coordination.commit(), new SecureRandom(), GRANT_TOKENS);
    }

    @Provides
    @Singleton
    ProgramLimits programLimits(Provider<HostDirectory> hosts) {
        return new ProgramLimits(new HostMemory(hosts), System::currentTimeMillis);
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
            ProgramLimits limits,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock) {
        return new ProgramCallService(
                coordination.registry(),
                programs,
                opener,
                limits,
                preconditions,
                dispatcher,
                nanoClock,
                new ProgramCallService.ProgramCallConfig(
                        MAX_ANSWER_BYTES, mSettings.commit().deadlineMillis(), RETRY_AFTER_MILLIS));
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
                coordination.registry(),
                new IntentStore(table, objects, coordination.commit(), new SecureRandom()),
                preconditions,
                dispatcher,
                nanoClock,
                callConfig());
    }

    @Provides
    @Singleton
    ProgramEnder programEnder(
            EntryCoordination coordination,
            ProgramOpener opener,
            ProgramLimits limits,
            LongSupplier nanoClock) {
        return new HeldProgramEnder(coordination.registry(), opener, limits, nanoClock);
    }

    // Helpers

    private ProgramCallService.ProgramCallConfig callConfig() {
        return new ProgramCallService.ProgramCallConfig(
                MAX_ANSWER_BYTES, mSettings.commit().deadlineMillis(), RETRY_AFTER_MILLIS);
    }
}
