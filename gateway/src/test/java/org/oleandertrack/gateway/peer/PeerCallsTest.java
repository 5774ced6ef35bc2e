package org.oleandertrack.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationLimits;
import org.oleandertrack.coordination.conversation.ConversationListener;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.coordination.quarantine.QuarantineListener;
import org.oleandertrack.coordination.quarantine.QuarantineService;
import org.oleandertrack.coordination.schedule.ExecutorScheduler;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.coordination.stream.RecordedOrigin;
import org.oleandertrack.coordination.stream.SoftwareVersions;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.coordination.stream.StreamOriginListener;
import org.oleandertrack.coordination.stream.StreamOriginService;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.limit.PermitIssuerState;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.rate.PermitResult;
import org.oleandertrack.core.rate.TargetPacers;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.gateway.organisation.OrganisationPermitService;
import org.oleandertrack.http.HttpResponses;
import org.oleandertrack.http.HttpServer;
import org.oleandertrack.http.InboundLimits;
import org.oleandertrack.http.PooledHttpClient;
import org.oleandertrack.telemetry.logging.EventLog;

/** Guards against results of the store that change when a peer relays them. */
final class PeerCallsTest {

    private static final RowId ID = new RowId("t", "p", "k");
    private static final StoredRow ROW = new StoredRow(ID, "v", 3);
    private static final RowTransaction WRITE = RowTransaction.replace(ID, 2, "w");

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile boolean mStoreUnreachable;
    private volatile boolean mStoreOverRate;
    private volatile TransactionResult mResult = new TransactionResult.Committed(7);
    private volatile RowChanges mChanges = new RowChanges.HistoryLost();

    private final RowStore mStore =
            new RowStore() {
                @Override
                public CompletableFuture<RowPage> read(
                        String table, String part, Optional<String> fromKey, int limit) {
                    return CompletableFuture.completedFuture(new RowPage(List.of(ROW), true, 9));
                }

                @Override
                public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
                    if (mStoreOverRate) {
                        return CompletableFuture.failedFuture(
                                StoreException.overRate("over the rate", 0));
                    }
                    return transaction.equals(WRITE) || writesTurn(transaction)
                            ? CompletableFuture.completedFuture(mResult)
                            : CompletableFuture.failedFuture(
                                    new IllegalArgumentException("another transaction"));
                }

                @Override
                public CompletableFuture<RowChanges> awaitChanges(
                        String table, long afterVersion, long waitMillis) {
                    return CompletableFuture.completedFuture(mChanges);
                }
            };

    private final TargetPacers mPacers = new TargetPacers(new Random(1));

    private final QuarantineService mQuarantine =
            new QuarantineService(
                    mStore,
                    (content, targetIds) -> {},
                    System::currentTimeMillis,
                    new QuarantineListener() {
                        @Override
                        public void onQuarantined(String content, Set<String> targetIds) {}

                        @Override
                        public void onReleased(String content) {}

                        @Override
                        public void onWriteFailed(String content, String reason) {}

                        @Override
                        public void onUnreadable(String key, String reason) {}
                    });

    private final StreamOriginListener mStreamOriginListener =
            new StreamOriginListener() {
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
            };

    private final StreamOriginService mStreamOrigins =
            new StreamOriginService(
                    mStore,
                    StoreRate.NEVER_SHORT,
                    new SoftwareVersions(
                            mStore, new ExecutorScheduler(mLoops), mStreamOriginListener),
                    new PeerStreamOrigins(directory(), log()),
                    new ExecutorScheduler(mLoops),
                    System::nanoTime,
                    System::currentTimeMillis,
                    new Random(1),
                    mStreamOriginListener);

    private final AtomicLong mNanos = new AtomicLong();
    private final ConfigFreshness mFreshness = new ConfigFreshness(mNanos::get, () -> 0);
    private final FakePeerConfiguration mConfiguration = new FakePeerConfiguration();

    private final HttpServer mServer =
            new HttpServer(
                    mLoops,
                    () -> new InboundLimits(8_192, 65_536, 2_000, 60_000),
                    new PeerHandler(
                            mStore,
                            () -> mStoreUnreachable,
                            new OutageAllowances(() -> 0),
                            conversations(),
                            mPacers,
                            mQuarantine,
                            mStreamOrigins,
                            permitService(directory()),
                            mFreshness,
                            mConfiguration),
                    HttpResponses::empty);
    private final InetSocketAddress mAddress =
            mServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private final PeerClient mPeer = new PeerClient(new PooledHttpClient(mLoops.next(), mAddress));

    // The first call in a JVM loads the classes of the JSON codec, which can take longer than the
    // timeout of a peer call.
    @BeforeEach
    void loadClasses() {
        Awaitility.await()
                .ignoreExceptions()
                .until(() -> mPeer.apply(WRITE).thenCombine(readAll(), (a, b) -> true).join());
    }

    private CompletableFuture<RowChanges> readAll() {
        return mPeer.read("t", "p", Optional.empty(), 1)
                .thenCompose(page -> mPeer.awaitChanges("t", 1, 10));
    }

    @AfterEach
    void stop() {
        mServer.stop();
        var _ = mLoops.shutdownGracefully();
    }

    @Test
    void anOriginThatAPeerHoldsIsFoundThere() {
        StreamOrigin origin = new StreamOrigin("engine", "v1");
        PeerMessages.HoldOrigins message =
                new PeerMessages.HoldOrigins(List.of(new RecordedOrigin("r1", origin, 5_000)));
        assertEquals(1, mPeer.holdOrigins(message).join());
        assertEquals(
                Optional.of(origin), mPeer.findOrigin(new PeerMessages.FindOrigin("r1")).join());
        assertEquals(Optional.empty(), mPeer.findOrigin(new PeerMessages.FindOrigin("r2")).join());
    }

    @Test
    void relayedReadsAreUnchanged() {
        assertEquals(
                new RowPage(List.of(ROW), true, 9),
                mPeer.read("t", "p", Optional.of("a"), 10).join());
    }

    @Test
    void resultsOfRelayedTransactionsAreUnchanged() {
        assertEquals(mResult, mPeer.apply(WRITE).join());
        mResult = new TransactionResult.Rejected(List.of(ROW));
        assertEquals(mResult, mPeer.apply(WRITE).join());
    }

    @Test
    void relayedChangesAreUnchanged() {
        assertEquals(mChanges, mPeer.awaitChanges("t", 1, 10).join());
        mChanges =
                new RowChanges.Changed(
                        List.of(new RowChange.Written(ROW), new RowChange.Removed(ID)), 12);
        assertEquals(mChanges, mPeer.awaitChanges("t", 1, 10).join());
    }

    @Test
    void aPeerThatCannotReachTheStoreReportsNotRun() {
        mStoreUnreachable = true;
        CompletionException failure =
                assertThrows(CompletionException.class, () -> mPeer.apply(WRITE).join());
        assertEquals(Execution.NOT_RUN, StoreFailures.executionOf(failure));
    }

    /** Guards against a refusal for the rate that a peer reports as an unreachable store. */
    @Test
    void aPeerPassesARefusalForTheRateOn() {
        PeerDirectory peers = directory(mAddress);
        mStoreOverRate = true;
        CompletableFuture<TransactionResult> call = peers.relayStores().getFirst().apply(WRITE);
        CompletionException failure = assertThrows(CompletionException.class, call::join);
        assertTrue(StoreFailures.isOverRate(failure));
        assertEquals(1, peers.relayStores().size());
    }

    @Test
    void onlyTokensThatWereDepositedAreIssuedAndEachOnce() {
        PeerMessages.MoveAllowance turn = new PeerMessages.MoveAllowance("p", 100);
        assertFalse(mPeer.takeAllowance(turn).join());
        assertTrue(mPeer.depositAllowance(new PeerMessages.MoveAllowance("p", 250)).join());
        assertTrue(mPeer.takeAllowance(turn).join());
        assertTrue(mPeer.takeAllowance(turn).join());
        assertFalse(mPeer.takeAllowance(turn).join());
        assertTrue(mPeer.depositAllowance(turn).join());
        assertTrue(mPeer.takeAllowance(turn).join());
        assertFalse(mPeer.takeAllowance(new PeerMessages.MoveAllowance("q", 50)).join());
    }

    /** Guards against calls that all wait for the same unresponsive peer in turn. */
    @Test
    void aPeerThatDidNotAnswerIsSkippedForAWhile() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            PeerDirectory peers = directory((InetSocketAddress) silent.getLocalSocketAddress());
            assertEquals(1, peers.relayStores().size());
            CompletableFuture<TransactionResult> call = peers.relayStores().getFirst().apply(WRITE);
            assertEquals(
                    Execution.UNKNOWN,
                    StoreFailures.executionOf(assertThrows(CompletionException.class, call::join)));

            assertEquals(List.of(), peers.relayStores());
            assertEquals(1, peers.peerCount());
        }
    }

    /**
     * Guards against calls that fail at a peer without the store while other peers can reach it.
     */
    @Test
    void aPeerThatCannotReachTheStoreIsSkippedForAWhile() {
        PeerDirectory peers = directory(mAddress);
        mStoreUnreachable = true;
        CompletableFuture<TransactionResult> call = peers.relayStores().getFirst().apply(WRITE);
        assertThrows(CompletionException.class, call::join);

        assertEquals(List.of(), peers.relayStores());
        Awaitility.await().until(() -> peers.relayStores().size() == 1);
    }

    @Test
    void aTurnThatAPeerHasWrittenIsFoundThereUnchanged() {
        byte[] text = new byte[256];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) i;
        }
        PeerConversations peers = new PeerConversations(directory(mAddress), log());
        KeptTurn turn = new KeptTurn("written", Conversation.of(text), 60_000);
        mStoreOverRate = true;
        assertFalse(peers.write(turn, 0, 1).join());
        mStoreOverRate = false;
        assertTrue(peers.write(turn, 0, 1).join());
        assertEquals(
                new TurnLookup.Found(turn.conversation(), TurnLookup.Source.PEER),
                peers.find("written", 60_000).join());
    }

    /** Guards against a turn that is called unknown although a peer may have held it. */
    @Test
    void aPeerThatStartedRecentlyOrDoesNotAnswerLeavesDoubt() throws IOException {
        PeerConversations young = new PeerConversations(directory(mAddress), log());
        assertInstanceOf(TurnLookup.Unavailable.class, young.find("none", 60_000).join());
        assertEquals(new TurnLookup.NotFound(), young.find("none", 0).join());
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            PeerConversations unanswered =
                    new PeerConversations(
                            directory((InetSocketAddress) silent.getLocalSocketAddress()), log());
            assertInstanceOf(TurnLookup.Unavailable.class, unanswered.find("none", 60_000).join());
        }
    }

    /** Guards against a malformed call that ends the connection or the process. */
    @Test
    void aMalformedCallIsRejectedAndTheNextOneIsAnswered() {
        PooledHttpClient client = new PooledHttpClient(mLoops.next(), mAddress);
        for (String path :
                List.of(
                        "read",
                        "apply",
                        "changes",
                        "granted-allowance-take",
                        "granted-allowance-deposit",
                        "turn-write",
                        "turn-find",
                        "permit-take",
                        "crash-report")) {
            for (String body : List.of("", "{}", "[]", "null", "{\"turnId\":1", "\u0000")) {
                assertEquals(
                        400,
                        client.call(
                                        HttpMethod.POST,
                                        "/peer/" + path,
                                        "application/json",
                                        body.getBytes(StandardCharsets.UTF_8),
                                        5_000)
                                .join()
                                .status(),
                        path + " " + body);
            }
        }
        assertEquals(mResult, mPeer.apply(WRITE).join());
    }

    /** Guards against hosts that each use the whole rate of a target. */
    @Test
    void hostsTogetherTakeTheRateOfATargetFromOnePacer() {
        PeerDirectory peers = announced(mAddress);
        PeerPermitIssuer issuer = issuer(peers);
        PermitRequest request = new PermitRequest(pacedByPeer(peers), 0.2, 0, 0);
        PermitRequest patient = new PermitRequest(request.targetId(), 0.2, 0, 10_000);
        assertInstanceOf(PermitResult.Granted.class, mPacers.take(patient, System.nanoTime()));
        assertInstanceOf(PermitResult.Denied.class, issuer.take(request).join());
        assertInstanceOf(PermitResult.Granted.class, issuer.take(patient).join());
    }

    /** Guards against calls that wait for a pacing host that does not respond. */
    @Test
    void aPacingHostThatDoesNotAnswerIsReplacedByTheNextOne() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            PeerDirectory peers = announced((InetSocketAddress) silent.getLocalSocketAddress());
            String targetId = pacedByPeer(peers);
            PermitRequest request = new PermitRequest(targetId, 50, 0, 1_000);
            assertInstanceOf(PermitResult.Granted.class, issuer(peers).take(request).join());
            assertEquals(List.of(new PacingHost.Own()), peers.pacingHostsFor(targetId, 2));
        }
    }

    /** Guards against a host that uses the whole rate of a target because it knows no other. */
    @Test
    void aHostThatKnowsNoPacingHostUsesItsShareOfTheRate() {
        PeerPermitIssuer issuer = issuer(directory(mAddress));
        PermitRequest request = new PermitRequest("t", 2, 0, 60_000);
        PermitResult.Granted first =
                assertInstanceOf(PermitResult.Granted.class, issuer.take(request).join());
        PermitResult.Granted second =
                assertInstanceOf(PermitResult.Granted.class, issuer.take(request).join());
        assertTrue(second.waitMillis() - first.waitMillis() > 500, first + " " + second);
    }

    private static OrganisationPermitService permitService(PeerDirectory peers) {
        return new OrganisationPermitService(
                new PeerOrganisationIssuers(peers, "own", new Random(1), System::nanoTime, log()),
                new PermitIssuerState(new Random(1), 0, 0),
                System::nanoTime,
                System::currentTimeMillis);
    }

    private static PeerPermitIssuer issuer(PeerDirectory peers) {
        return new PeerPermitIssuer(peers, new TargetPacers(new Random(1)), new Random(1), log());
    }

    private PeerDirectory announced(InetSocketAddress peer) {
        PeerDirectory peers = directory();
        peers.onTableRead(
                List.of(
                        new StoredRow(peers.announcementRowId(), peers.announcementValue(), 1),
                        new StoredRow(
                                new RowId(PeerDirectory.TABLE, "", "peer"),
                                RowJson.encode(
                                        new PeerDirectory.Announcement(
                                                peer.getAddress().getHostAddress(),
                                                peer.getPort())),
                                2)));
        return peers;
    }

    /** Guards against one odd row that makes the rows after it unreadable. */
    @Test
    void oddAnnouncementsHarmNoOtherPeer() {
        PeerDirectory peers = directory();
        List<StoredRow> rows = new ArrayList<>();
        for (String value :
                List.of(
                        "{\"host\":\"127.0.0.1\",\"port\":65536}",
                        "{\"host\":\"127.0.0.1\",\"port\":-1}",
                        "{\"host\":\"127.0.0.1\",\"port\":1" + "0".repeat(400) + "}",
                        "{\"host\":\"peer.example\",\"port\":1}",
                        "{\"port\":1}",
                        "[".repeat(100_000),
                        "null",
                        "")) {
            rows.add(
                    new StoredRow(
                            new RowId(PeerDirectory.TABLE, "", "odd" + rows.size()), value, 1));
        }
        rows.add(
                new StoredRow(
                        new RowId(PeerDirectory.TABLE, "", "peer"),
                        RowJson.encode(new PeerDirectory.Announcement("127.0.0.1", 2)),
                        2));
        peers.onTableRead(rows);
        assertEquals(1, peers.peerCount());
        peers.onRowsChanged(rows.stream().<RowChange>map(RowChange.Written::new).toList());
        assertEquals(1, peers.peerCount());
    }

    private static boolean writesTurn(RowTransaction transaction) {
        return transaction.writes().stream()
                .anyMatch(write -> write.id().table().equals(ConversationService.TURN_TABLE));
    }

    private static String pacedByPeer(PeerDirectory peers) {
        int number = 0;
        while (!(peers.pacingHostsFor("t" + number, 2).getFirst() instanceof PacingHost.Peer)) {
            number++;
        }
        return "t" + number;
    }

    private ConversationService conversations() {
        return new ConversationService(
                mStore,
                StoreRate.NEVER_SHORT,
                new PeerConversations(directory(), log()),
                new ExecutorScheduler(mLoops),
                System::nanoTime,
                System::currentTimeMillis,
                new Random(1),
                new ConversationListener() {
                    @Override
                    public void onUnreadable(String turnId, String reason) {}

                    @Override
                    public void onRemoved(String part, int turns) {}

                    @Override
                    public void onRemovalFailed(String part, String reason) {}
                },
                ConversationLimits.DEFAULT);
    }

    private static EventLog log() {
        return new EventLog(line -> {}, Clock.systemUTC(), 1);
    }

    private PeerDirectory directory(InetSocketAddress... peers) {
        return new PeerDirectory(
                mLoops.next(),
                "own",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                List.of(peers),
                new EventLog(line -> {}, Clock.systemUTC(), 1));
    }

    /** Guards against a peer without a configuration that confirms one. */
    @Test
    void aPeerStatesItsConfigurationAndItsAge() {
        PeerMessages.AskConfigurationAge question = new PeerMessages.AskConfigurationAge(3);
        assertFalse(mPeer.configurationAge(question).join().known());
        mConfiguration.mVersion = OptionalLong.of(4);
        assertFalse(mPeer.configurationAge(question).join().known());
        mFreshness.confirm(mFreshness.now());
        mNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_200));
        assertEquals(
                new PeerMessages.ConfigurationAge(true, 4, 1_200),
                mPeer.configurationAge(question).join());
    }

    @Test
    void aPeerPassesItsConfigurationOn() {
        PeerMessages.ReadConfiguration request = new PeerMessages.ReadConfiguration(4);
        assertNull(mPeer.readConfiguration(request).join().row());
        mConfiguration.mVersion = OptionalLong.of(4);
        assertEquals(FakePeerConfiguration.row(4), mPeer.readConfiguration(request).join().row());
    }

    /** Guards against rows that reach a peer with the secrets that the store has. */
    @Test
    void aFilteredStoreChangesRowsThatAreReadAndThatHaveChanged() {
        StoredRow filteredRow = new StoredRow(ID, "filtered", 3);
        RowStore filtered = new FilteredRowStore(mStore, row -> filteredRow);
        assertEquals(
                List.of(filteredRow), filtered.read("t", "p", Optional.empty(), 10).join().rows());
        mChanges =
                new RowChanges.Changed(
                        List.of(new RowChange.Removed(ID), new RowChange.Written(ROW)), 9);
        assertEquals(
                new RowChanges.Changed(
                        List.of(new RowChange.Removed(ID), new RowChange.Written(filteredRow)), 9),
                filtered.awaitChanges("t", 0, 10).join());
    }
}
