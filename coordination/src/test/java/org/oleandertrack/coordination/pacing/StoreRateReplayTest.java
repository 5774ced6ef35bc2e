package org.oleandertrack.coordination.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationLimits;
import org.oleandertrack.coordination.conversation.ConversationListener;
import org.oleandertrack.coordination.conversation.ConversationPeers;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.conversation.KeepResult;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.spending.AllowanceIssuer;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.stream.RecordedOrigin;
import org.oleandertrack.coordination.stream.SoftwareVersions;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.coordination.stream.StreamOriginListener;
import org.oleandertrack.coordination.stream.StreamOriginPeers;
import org.oleandertrack.coordination.stream.StreamOriginService;

/**
 * 800 turns a second of 27 hosts. Each turn takes a grant, three in four record an origin and three
 * in four are stored. Guards against turns that fail although the store is up.
 */
final class StoreRateReplayTest {

    private static final int HOSTS = 27;
    private static final int TURNS_PER_PROGRAM = 6;
    private static final int PROGRAMS = 1_000;
    private static final long BUDGET_TOKENS = 8_000;
    private static final long MAX_TOKENS = 500;
    private static final StoreLimits LIMITS = new StoreLimits(1_200, 200);

    private final VirtualTime mTime = new VirtualTime(1);
    private final RatedRowStore mDirect = new RatedRowStore(mTime, 1_200, 200);
    private final OutageAllowances mAllowances = new OutageAllowances(mTime::nowNanos);
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Long> mRefusedAfterNanos = new ArrayList<>();
    private boolean mPaced = true;
    private int mTurns;
    private int mReserved;
    private int mStored;
    private int mToStore;
    private int mRefusedWithoutTime;
    private int mOutageActions;

    private void run(long seconds, int turnsPerSecond) {
        long intervalNanos = VirtualTime.SECOND / turnsPerSecond;
        for (int i = 0; i < HOSTS; i++) {
            mHosts.add(new Host());
        }
        for (long nanos = 0; nanos < seconds * VirtualTime.SECOND; nanos += intervalNanos) {
            startTurn();
            mTime.runFor(intervalNanos);
        }
        mTime.runFor(4 * VirtualTime.SECOND);
    }

    // Programs begin one after another, and their turns arrive mostly, but not always, at one host.
    private void startTurn() {
        int turn = mTurns++;
        int place = turn % PROGRAMS;
        int program = place + PROGRAMS * ((turn / PROGRAMS + place) / TURNS_PER_PROGRAM);
        int host = mTime.random().nextInt(10) == 0 ? turn : program;
        mHosts.get(host % HOSTS).startTurn("program-" + program, "turn-" + turn, turn);
    }

    private String figures() {
        return String.format(
                "turns %d reserved %d stored %d of %d, refused %d (slowest %.1f ms, without a time"
                        + " %d), writes %d, refusals of the store %d, outage actions %d",
                mTurns,
                mReserved,
                mStored,
                mToStore,
                mRefusedAfterNanos.size(),
                mRefusedAfterNanos.stream().mapToLong(Long::longValue).max().orElse(0) / 1e6,
                mRefusedWithoutTime,
                mDirect.calls().size(),
                mDirect.refusals(),
                mOutageActions);
    }

    /** Guards against turns that are refused because of the store while it takes 1,200 writes. */
    @Test
    void noTurnIsRefusedWhileTheStoreTakes1200Writes() {
        run(10, 800);
        assertEquals(mTurns, mReserved, figures());
        assertEquals(mToStore, mStored, figures());
        assertEquals(0, mOutageActions, figures());
    }

    /** Guards against turns that wait for a store which will not take their writes. */
    @Test
    void turnsOver600WritesAreRefusedAtOnceWithATime() {
        mDirect.setWritesPerSecond(600);
        run(10, 800);
        assertTrue(mReserved > 0, figures());
        assertEquals(mTurns, mReserved + mRefusedAfterNanos.size(), figures());
        assertEquals(mToStore, mStored, figures());
        assertEquals(0, mOutageActions, figures());
        assertEquals(0, mRefusedWithoutTime, figures());
        long late = mRefusedAfterNanos.stream().filter(n -> n > 50 * VirtualTime.MILLI).count();
        assertTrue(late * 10 <= mRefusedAfterNanos.size(), late + " late; " + figures());
    }

    /** Guards against hosts that write otherwise than before while the rate suffices. */
    @Test
    void turnsWithinTheRateMakeTheSameCallsInTheSameOrderAsWithoutPacing() {
        run(5, 300);
        StoreRateReplayTest unpaced = new StoreRateReplayTest();
        unpaced.mPaced = false;
        unpaced.run(5, 300);
        assertEquals(0, mDirect.refusals(), figures());
        assertEquals(unpaced.mDirect.calls(), mDirect.calls());
    }

    /** A host with the services of a gateway that write for turns. */
    private final class Host
            implements PacingListener,
                    AllowanceIssuer,
                    StreamOriginPeers,
                    StreamOriginListener,
                    ConversationPeers,
                    ConversationListener {
        private final PacingRowStore mStore =
                new PacingRowStore(mDirect, LIMITS, () -> HOSTS, mTime, mTime::nowNanos, this);
        private final RowStore mUsedStore = mPaced ? mStore : mDirect;
        private final StoreRate mRate = mPaced ? mStore : StoreRate.NEVER_SHORT;
        private final SpendingService mSpending =
                new SpendingService(
                        mUsedStore,
                        mRate,
                        this,
                        new WriteIds(mTime.random()),
                        mTime,
                        mTime::nowNanos,
                        mTime.random());
        private final StreamOriginService mOrigins =
                new StreamOriginService(
                        mUsedStore,
                        mRate,
                        new SoftwareVersions(mUsedStore, mTime, this),
                        this,
                        mTime,
                        mTime::nowNanos,
                        () -> mTime.nowNanos() / VirtualTime.MILLI,
                        mTime.random(),
                        this);
        private final ConversationService mConversations =
                new ConversationService(
                        mUsedStore,
                        mRate,
                        this,
                        mTime,
                        mTime::nowNanos,
                        () -> mTime.nowNanos() / VirtualTime.MILLI,
                        mTime.random(),
                        this,
                        ConversationLimits.DEFAULT);

        private void startTurn(String program, String turn, int number) {
            long beginNanos = mTime.nowNanos();
            var _ =
                    mSpending
                            .reserve(program, BUDGET_TOKENS, MAX_TOKENS)
                            .thenAccept(
                                    result ->
                                            onReserved(program, turn, number, beginNanos, result));
        }

        private void onReserved(
                String program, String turn, int number, long beginNanos, SpendingResult result) {
            if (!(result instanceof SpendingResult.Reserved reserved)) {
                mRefusedAfterNanos.add(mTime.nowNanos() - beginNanos);
                boolean hasTime =
                        result instanceof SpendingResult.OverRate over
                                && over.retryAfterMillis() > 0;
                mRefusedWithoutTime += hasTime ? 0 : 1;
                return;
            }
            mReserved++;
            if (number % 4 != 0) {
                mOrigins.record(new RecordedOrigin(turn, new StreamOrigin("engine", "v1"), 10_000));
            }
            mTime.schedule(VirtualTime.SECOND, () -> endTurn(program, turn, number, reserved));
        }

        private void endTurn(
                String program, String turn, int number, SpendingResult.Reserved reserved) {
            mSpending.settle(program, reserved, MAX_TOKENS / 4);
            if (number % 4 == 1) {
                return;
            }
            mToStore++;
            var _ =
                    mConversations
                            .keep(new KeptTurn(turn, Conversation.of(new byte[100]), 10_000))
                            .thenAccept(
                                    result -> mStored += result instanceof KeepResult.Kept ? 1 : 0);
        }

        @Override
        public CompletableFuture<Boolean> deposit(String program, long tokens) {
            mAllowances.deposit(program, tokens);
            return CompletableFuture.completedFuture(true);
        }

        // Also called for a turn that the rest of the budget does not cover, without an outage.
        @Override
        public CompletableFuture<Boolean> take(String program, long tokens) {
            return CompletableFuture.completedFuture(mAllowances.take(program, tokens));
        }

        @Override
        public int peerCount() {
            return HOSTS - 1;
        }

        @Override
        public void hold(List<RecordedOrigin> origins) {
            mOutageActions += mStore.isShort() ? 0 : 1;
        }

        @Override
        public CompletableFuture<Optional<StreamOrigin>> find(String requestId) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Boolean> write(KeptTurn turn, int choice, long keptMillis) {
            mOutageActions++;
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<TurnLookup> find(String turnId, long retentionMillis) {
            return CompletableFuture.completedFuture(new TurnLookup.NotFound());
        }

        @Override
        public void onShort(double writesPerSecond) {}

        @Override
        public void onSufficient(long shortMillis) {}

        @Override
        public void onJoined(int writes) {}

        @Override
        public void onRefused(String importance, long waitMillis) {}

        @Override
        public void onNotStored(int origins, String reason) {}

        @Override
        public void onDropped(int origins) {}

        @Override
        public void onNotRegistered(StreamOrigin version, String reason) {}

        @Override
        public void onUnreadable(String key, String reason) {}

        @Override
        public void onRemovalFailed(String part, String reason) {}

        @Override
        public void onRemoved(String part, int turns) {}
    }
}
