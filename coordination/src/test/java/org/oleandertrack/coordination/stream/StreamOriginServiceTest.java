package org.oleandertrack.coordination.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowTransaction;

/** Guards against origins that are lost with a host, guessed, or never removed. */
final class StreamOriginServiceTest {

    private static final StreamOrigin ORIGIN = new StreamOrigin("engine", "v1");
    private static final long RETENTION_MILLIS = 6_000;

    private final VirtualTime mTime = new VirtualTime(1);
    private final FakeRowStore mStore = new FakeRowStore();
    private final List<Host> mHosts = new ArrayList<>();
    private int mHeldOrigins;
    private boolean mRateShort;

    /** A host whose peers are all the others. */
    private final class Host implements StreamOriginPeers, StreamOriginListener {
        private final SoftwareVersions mVersions = new SoftwareVersions(mStore, mTime, this);
        private final StreamOriginService mService =
                new StreamOriginService(
                        mStore,
                        () -> mRateShort,
                        mVersions,
                        this,
                        mTime,
                        mTime::nowNanos,
                        () -> mTime.nowNanos() / VirtualTime.MILLI,
                        mTime.random(),
                        this);

        @Override
        public int peerCount() {
            return mHosts.size() - 1;
        }

        @Override
        public void hold(List<RecordedOrigin> origins) {
            mHeldOrigins += origins.size();
            mHosts.stream()
                    .filter(host -> host != this)
                    .forEach(host -> origins.forEach(host.mService::holdForPeer));
        }

        @Override
        public CompletableFuture<Optional<StreamOrigin>> find(String requestId) {
            return CompletableFuture.completedFuture(
                    mHosts.stream()
                            .filter(host -> host != this)
                            .map(host -> host.mService.findLocally(requestId))
                            .flatMap(Optional::stream)
                            .findFirst());
        }

        @Override
        public void onNotStored(int origins, String reason) {}

        @Override
        public void onDropped(int origins) {}

        @Override
        public void onUnreadable(String requestId, String reason) {}

        @Override
        public void onNotRegistered(StreamOrigin version, String reason) {}

        @Override
        public void onRemovalFailed(String part, String reason) {}
    }

    @BeforeEach
    void startHosts() {
        restartAll();
    }

    private void restartAll() {
        mHosts.clear();
        for (int i = 0; i < 3; i++) {
            mHosts.add(new Host());
        }
    }

    private void record(int host, String requestId) {
        mHosts.get(host).mService.record(new RecordedOrigin(requestId, ORIGIN, RETENTION_MILLIS));
    }

    private OriginLookup find(int host, String requestId) {
        return find(host, Optional.of(requestId));
    }

    private OriginLookup find(int host, Optional<String> requestId) {
        CompletableFuture<OriginLookup> result =
                mHosts.get(host).mService.find(requestId, ORIGIN.service());
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(result.isDone(), "the lookup has no end");
        return result.join();
    }

    private void assertFound(OriginLookup.Source source, OriginLookup lookup) {
        assertEquals(new OriginLookup.Found(ORIGIN, source), lookup);
    }

    @Test
    void anOriginIsFoundAfterAllHostsWereKilled() {
        record(0, "r1");
        restartAll();
        assertFound(OriginLookup.Source.STORE, find(1, "r1"));
    }

    @Test
    void anOriginRecordedWhileTheStoreIsAwayIsFoundAfterItsHostWasKilled() {
        mStore.setDown(true);
        record(0, "r1");
        mHosts.set(0, new Host());
        assertFound(OriginLookup.Source.PEER, find(0, "r1"));
        assertFound(OriginLookup.Source.LOCAL, find(1, "r1"));
    }

    @Test
    void anOriginWhoseWriteIsNotAnsweredIsHeldByPeers() {
        mStore.setNextFates(FakeRowStore.Fate.UNANSWERED_LATE);
        record(0, "r1");
        mTime.runFor(100 * VirtualTime.MILLI);
        mHosts.set(0, new Host());
        assertFound(OriginLookup.Source.PEER, find(0, "r1"));
    }

    @Test
    void anOriginBehindAnUnansweredWriteIsHeldByPeers() {
        mStore.setNextFates(FakeRowStore.Fate.UNANSWERED);
        record(0, "r1");
        for (int i = 2; i < 200; i++) {
            record(0, "r" + i);
        }
        mTime.runFor(100 * VirtualTime.MILLI);
        mHosts.set(0, new Host());
        List<CompletableFuture<OriginLookup>> lookups = new ArrayList<>();
        for (int i = 1; i < 200; i++) {
            lookups.add(mHosts.get(0).mService.find(Optional.of("r" + i), ORIGIN.service()));
        }
        mTime.runFor(VirtualTime.SECOND);
        lookups.forEach(lookup -> assertInstanceOf(OriginLookup.Found.class, lookup.getNow(null)));
    }

    @Test
    void anOriginThatTheStoreRefusedOnceIsStoredLater() {
        mStore.setNextFates(FakeRowStore.Fate.REFUSED);
        record(0, "r1");
        mTime.runFor(VirtualTime.SECOND);
        restartAll();
        assertFound(OriginLookup.Source.STORE, find(0, "r1"));
    }

    /** Guards against an origin that the store never accepts and that all later ones wait for. */
    @Test
    void anOriginThatIsTooLargeForTheStoreDoesNotDelayOthers() {
        StreamOrigin large = new StreamOrigin("engine", "v".repeat(70_000));
        mHosts.get(0).mService.record(new RecordedOrigin("large", large, RETENTION_MILLIS));
        String part = OriginRows.rowOf("large").part();
        List<String> others =
                IntStream.range(0, 1_000)
                        .mapToObj(number -> "r" + number)
                        .filter(id -> OriginRows.rowOf(id).part().equals(part))
                        .limit(5)
                        .toList();
        others.forEach(id -> record(0, id));
        mTime.runFor(3 * VirtualTime.SECOND);
        restartAll();
        others.forEach(id -> assertFound(OriginLookup.Source.STORE, find(1, id)));
        assertEquals(5, others.size());
    }

    /** Guards against peers that are asked to hold origins because the store is over its rate. */
    @Test
    void anOriginOverTheRateIsStoredLaterAndNotHeldByPeers() {
        mStore.setNextFates(FakeRowStore.Fate.OVER_RATE, FakeRowStore.Fate.OVER_RATE);
        record(0, "r1");
        mTime.runFor(200 * VirtualTime.MILLI);
        assertEquals(0, mHeldOrigins);
        restartAll();
        assertFound(OriginLookup.Source.STORE, find(0, "r1"));
    }

    /** Guards against origins that use up the rate which grants and stored turns need. */
    @Test
    void whileTheRateIsShortOnlyPeersHoldAnOrigin() {
        mRateShort = true;
        record(0, "r1");
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(0, mStore.transactions());
        mHosts.set(0, new Host());
        assertFound(OriginLookup.Source.PEER, find(0, "r1"));
    }

    @Test
    void anUnknownOriginIsNotGuessed() {
        record(0, "r1");
        assertInstanceOf(OriginLookup.NotFound.class, find(1, "r2"));
        mStore.setDown(true);
        assertInstanceOf(OriginLookup.Unavailable.class, find(1, "r2"));
    }

    private void register(int host, String softwareVersion) {
        List<String> registered = new ArrayList<>();
        mHosts.get(host)
                .mVersions
                .register(
                        new StreamOrigin(ORIGIN.service(), softwareVersion),
                        () -> registered.add(softwareVersion));
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(List.of(softwareVersion), registered);
    }

    @Test
    void aStreamThatIsNotNamedContinuesAtTheOnlyVersionThatEverServed() {
        register(0, ORIGIN.softwareVersion());
        register(1, ORIGIN.softwareVersion());
        restartAll();
        assertFound(OriginLookup.Source.SOLE_VERSION, find(2, Optional.empty()));
        assertFound(OriginLookup.Source.SOLE_VERSION, find(2, "not recorded"));
        register(1, "v2");
        assertInstanceOf(OriginLookup.NotFound.class, find(2, Optional.empty()));
        assertInstanceOf(OriginLookup.NotFound.class, find(2, "not recorded"));
    }

    @Test
    void aVersionIsNotRegisteredBeforeTheStoreHasIt() {
        mStore.setNextFates(
                FakeRowStore.Fate.REFUSED, FakeRowStore.Fate.LATE, FakeRowStore.Fate.ANSWERED);
        List<String> registered = new ArrayList<>();
        mHosts.get(0).mVersions.register(ORIGIN, () -> registered.add("first"));
        mHosts.get(0).mVersions.register(ORIGIN, () -> registered.add("second"));
        assertEquals(List.of(), registered);
        assertEquals(List.of(), mStore.rows(SoftwareVersions.TABLE));
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(List.of("first", "second"), registered);
        assertEquals(1, mStore.rows(SoftwareVersions.TABLE).size());
    }

    @Test
    void anUnreadableRowIsNoOrigin() {
        RowId row = OriginRows.rowOf("r1");
        mStore.apply(RowTransaction.replace(row, 0, "{\"service\":\"engine\"}")).join();
        assertInstanceOf(OriginLookup.NotFound.class, find(1, "r1"));
    }

    @Test
    void rowsOfStreamsThatHaveEndedAreRemovedWithLaterWrites() {
        for (int i = 0; i < 300; i++) {
            record(0, "old" + i);
        }
        mTime.runFor(2 * RETENTION_MILLIS * VirtualTime.MILLI);
        for (int i = 0; i < 300; i++) {
            record(0, "new" + i);
        }
        long old =
                mStore.rows(OriginRows.TABLE).stream()
                        .filter(row -> row.id().key().startsWith("old"))
                        .count();
        assertEquals(0, old);
    }

    @Test
    void rowsOfHostsThatAreGoneAreRemovedByOthers() {
        for (int i = 0; i < 300; i++) {
            record(0, "old" + i);
        }
        restartAll();
        for (int i = 0; i < 4_000; i++) {
            mTime.runFor(VirtualTime.SECOND / 4);
            mHosts.forEach(host -> host.mService.runMaintenance());
        }
        assertEquals(List.of(), mStore.rows(OriginRows.TABLE));
    }

    /** Guards against a host out of step that continues a stream at the only version it knows. */
    @Test
    void aHostThatKnewOneVersionDoesNotGuessOnceAnotherHostUsesASecond() {
        mHosts.get(1).mVersions.register(ORIGIN, () -> {});
        mTime.runFor(VirtualTime.SECOND);
        assertFound(OriginLookup.Source.SOLE_VERSION, find(1, Optional.empty()));
        // The stream's host is killed before the origin is stored; its peers do not have it.
        mHosts.get(0).mVersions.register(new StreamOrigin("engine", "v2"), () -> {});
        mTime.runFor(VirtualTime.SECOND);
        assertInstanceOf(OriginLookup.NotFound.class, find(1, "r1"));
        assertInstanceOf(OriginLookup.NotFound.class, find(1, Optional.empty()));
        mStore.setDown(true);
        assertInstanceOf(OriginLookup.Unavailable.class, find(1, "r1"));
        assertInstanceOf(OriginLookup.Unavailable.class, find(1, Optional.empty()));
    }
}
