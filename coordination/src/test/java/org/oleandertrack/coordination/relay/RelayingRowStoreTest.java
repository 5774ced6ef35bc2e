package org.oleandertrack.coordination.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.spending.FakeRowStore.Fate;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TransactionResult;

/**
 * Guards against hosts that stop working because the store refuses the calls of only some hosts.
 */
final class RelayingRowStoreTest {

    private static final RowTransaction WRITE =
            RowTransaction.replace(new RowId("t", "p", "k"), 0, "v");

    private final FakeRowStore mDirect = new FakeRowStore();
    private final FakeRowStore mPeer = new FakeRowStore();
    private final FakeRowStore mOtherPeer = new FakeRowStore();
    private final CountingListener mFailures = new CountingListener();
    private final RelayingRowStore mStore =
            new RelayingRowStore(
                    mDirect, () -> List.<RowStore>of(mPeer, mOtherPeer), new Random(1), mFailures);

    private int peerTransactions() {
        return mPeer.transactions() + mOtherPeer.transactions();
    }

    @Test
    void aStoreThatAnswersIsCalledDirectly() {
        assertInstanceOf(TransactionResult.Committed.class, mStore.apply(WRITE).join());
        assertEquals(0, peerTransactions());
    }

    @Test
    void aHostThatTheStoreRefusesUsesAPeer() {
        mDirect.setDown(true);
        assertInstanceOf(TransactionResult.Committed.class, mStore.apply(WRITE).join());
        assertEquals(1, peerTransactions());
        assertTrue(mStore.isDirectFailing());
    }

    /** Guards against one call that is too large and makes the store look unreachable. */
    @Test
    void aRejectedTransactionIsNotPassedOnAndTheStoreCountsAsReachable() {
        mDirect.setNextFates(Fate.REJECTED);
        assertThrows(CompletionException.class, () -> mStore.apply(WRITE).join());
        assertEquals(0, peerTransactions());
        assertFalse(mStore.isDirectFailing());
        assertEquals(1, mFailures.mRejected);
    }

    @Test
    void aTransactionOfUnknownOutcomeIsNotPassedOn() {
        mDirect.setNextFates(Fate.ANSWER_LOST);
        assertThrows(CompletionException.class, () -> mStore.apply(WRITE).join());
        assertEquals(0, peerTransactions());
    }

    @Test
    void aPeerThatCannotReachTheStoreEitherIsSkipped() {
        mDirect.setDown(true);
        mPeer.setDown(true);
        assertInstanceOf(TransactionResult.Committed.class, mStore.apply(WRITE).join());
    }

    /**
     * Guards against a host that waits for the store's rate although the store refuses its calls
     * alone: a day on which some hosts got 429 for all calls lost a tenth of its worth.
     */
    @Test
    void aHostWhoseCallsAreAllRefusedForTheRateUsesAPeer() {
        long[] nowNanos = {0};
        RelayingRowStore store =
                new RelayingRowStore(
                        new HostRefusalRowStore(mDirect, () -> nowNanos[0]),
                        () -> List.<RowStore>of(mPeer),
                        new Random(1),
                        mFailures);
        for (int i = 0; i < 5; i++) {
            mDirect.setNextFates(Fate.OVER_RATE);
        }
        for (int i = 0; i < 4; i++) {
            assertThrows(CompletionException.class, () -> store.apply(WRITE).join());
            nowNanos[0] += TimeUnit.MILLISECONDS.toNanos(50);
        }
        assertEquals(0, mPeer.transactions());
        assertInstanceOf(TransactionResult.Committed.class, store.apply(WRITE).join());
        assertEquals(1, mPeer.transactions());
        assertTrue(store.isDirectFailing());
    }

    /** Guards against calls that are doubled while the store is over its rate for all hosts. */
    @Test
    void aStoreThatTakesSomeCallsOfAHostIsNotPassedBy() {
        long[] nowNanos = {0};
        HostRefusalRowStore store = new HostRefusalRowStore(mDirect, () -> nowNanos[0]);
        for (int i = 0; i < 40; i++) {
            mDirect.setNextFates(i % 4 == 3 ? Fate.ANSWERED : Fate.OVER_RATE);
            nowNanos[0] += TimeUnit.MILLISECONDS.toNanos(50);
            boolean overRate =
                    store.apply(WRITE)
                            .handle((result, e) -> e == null || StoreFailures.isOverRate(e))
                            .join();
            assertTrue(overRate);
        }
    }

    /** Guards against writes that fail while the store turns most hosts away. */
    @Test
    void aSinglePeerThatReachesTheStoreIsFound() {
        List<FakeRowStore> peers = Stream.generate(FakeRowStore::new).limit(6).toList();
        peers.subList(1, 6).forEach(peer -> peer.setDown(true));
        RelayingRowStore store =
                new RelayingRowStore(mDirect, () -> List.copyOf(peers), new Random(1), mFailures);
        mDirect.setDown(true);
        for (int i = 0; i < 10; i++) {
            RowTransaction write = RowTransaction.replace(new RowId("t", "p", "k" + i), 0, "v");
            assertInstanceOf(TransactionResult.Committed.class, store.apply(write).join());
        }
    }

    /** Guards against a call over the store's rate that becomes up to seven calls. */
    @Test
    void aCallOverTheRateIsMadeOnceAndTheStoreIsNotLost() {
        mDirect.setNextFates(Fate.OVER_RATE);
        CompletionException failure =
                assertThrows(CompletionException.class, () -> mStore.apply(WRITE).join());
        assertTrue(StoreFailures.isOverRate(failure));
        assertEquals(1, mDirect.transactions());
        assertEquals(0, peerTransactions());
        assertFalse(mStore.isDirectFailing());
        assertEquals(1, mFailures.mOverRate);
        assertEquals(0, mFailures.mUnavailable);
    }

    /** Guards against peers that are asked in turn while the rate of all hosts is used up. */
    @Test
    void aPeerThatIsOverTheRateIsNotFollowedByAnother() {
        mDirect.setDown(true);
        mPeer.setNextFates(Fate.OVER_RATE);
        mOtherPeer.setNextFates(Fate.OVER_RATE);
        CompletionException failure =
                assertThrows(CompletionException.class, () -> mStore.apply(WRITE).join());
        assertTrue(StoreFailures.isOverRate(failure));
        assertEquals(1, peerTransactions());
        assertEquals(1, mFailures.mUnavailable);
    }

    @Test
    void theStoreIsCalledDirectlyAgainAfterASuccessfulProbe() {
        mDirect.setDown(true);
        var _ = mStore.apply(WRITE).join();
        mDirect.setDown(false);
        assertTrue(mStore.isDirectFailing());
        mStore.probe();
        assertFalse(mStore.isDirectFailing());
    }

    private static final class CountingListener implements StoreRefusalListener {
        private int mOverRate;
        private int mRejected;
        private int mUnavailable;

        @Override
        public void onOverRate(String reason) {
            mOverRate++;
        }

        @Override
        public void onRejected(String reason) {
            mRejected++;
        }

        @Override
        public void onUnavailable(String reason) {
            mUnavailable++;
        }
    }
}
