package org.oleandertrack.coordination.spending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.spending.FakeRowStore.Fate;
import org.oleandertrack.coordination.store.WriteIds;

/**
 * Guards against programs that generate more tokens than their budget because several hosts serve
 * them, hosts restart, or the store fails.
 */
final class SpendingServiceTest {

    private static final long BUDGET = 4_000;
    private static final long TURN = 100;
    // A quarter of the budget is reserved for outages of the store.
    private static final int TURNS = 30;
    private static final int OUTAGE_TURNS = 10;
    private static final SpendingResult.Reserved GRANTED = new SpendingResult.Reserved(TURN, false);

    private final FakeRowStore mStore = new FakeRowStore();
    private final OutageAllowance mAllowance = new OutageAllowance(() -> 0);
    private long mNowNanos;
    private final AllowanceIssuer mIssuer =
            new AllowanceIssuer() {
                @Override
                public CompletableFuture<Boolean> take(
                        String program, long budgetTokens, long maxTokens) {
                    return CompletableFuture.completedFuture(
                            mAllowance.take(program, budgetTokens, maxTokens));
                }

                @Override
                public void giveBack(String program, long tokens) {
                    mAllowance.giveBack(program, tokens);
                }
            };

    private SpendingService host(long seed) {
        return new SpendingService(
                mStore, mIssuer, new WriteIds(new Random(seed)), () -> mNowNanos);
    }

    private static SpendingResult reserve(SpendingService host) {
        return host.reserve("p", BUDGET, TURN).join();
    }

    private static boolean granted(SpendingService host) {
        return reserve(host) instanceof SpendingResult.Reserved;
    }

    @Test
    void hostsTogetherNeverReserveMoreThanTheBudget() {
        List<SpendingService> hosts = List.of(host(1), host(2), host(3));
        int turns = 0;
        for (int i = 0; i < 150; i++) {
            turns += granted(hosts.get(i % 3)) ? 1 : 0;
        }
        assertEquals(TURNS, turns);
        assertInstanceOf(SpendingResult.Exhausted.class, reserve(hosts.getFirst()));
    }

    @Test
    void spendingIsRememberedOverRestarts() {
        int turns = 0;
        for (int restart = 0; restart < 40; restart++) {
            turns += granted(host(restart)) ? 1 : 0;
        }
        assertTrue(turns <= TURNS, "turns " + turns);
    }

    @Test
    void tokensThatWereNotGeneratedCanBeReservedAgain() {
        SpendingService host = host(1);
        int turns = 0;
        while (granted(host)) {
            host.settle("p", GRANTED, 20);
            turns++;
        }
        assertEquals(146, turns);
    }

    @Test
    void furtherTurnsOfAProgramNeedNoWrite() {
        SpendingService host = host(1);
        for (int i = 0; i < 6; i++) {
            assertTrue(granted(host));
            host.settle("p", GRANTED, 5);
        }
        assertEquals(1, mStore.transactions());
    }

    @Test
    void aLostAnswerIsReadBack() {
        mStore.next(Fate.ANSWER_LOST);
        assertTrue(granted(host(1)));
        assertEquals(1, mStore.transactions());
    }

    @Test
    void aWriteThatTakesEffectLateIsNeverCountedTwice() {
        SpendingService host = host(1);
        mStore.next(Fate.LATE);
        assertTrue(granted(host));
        mStore.applyLate();
        int turns = 1;
        while (granted(host)) {
            turns++;
        }
        assertEquals(TURNS, turns);
    }

    @Test
    void aLateWriteOfOneHostIsSeenByAnother() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        mStore.next(Fate.LATE);
        mStore.next(Fate.REFUSED);
        assertInstanceOf(SpendingResult.Reserved.class, reserve(first));
        mStore.applyLate();
        int turns = 0;
        for (int i = 0; i < 120; i++) {
            turns += granted(second) ? 1 : 0;
            turns += granted(first) ? 1 : 0;
        }
        assertTrue(turns <= TURNS, "turns " + turns);
    }

    @Test
    void withoutTheStoreOnlyGrantsInHandAndTheAllowanceAreSpent() {
        SpendingService host = host(1);
        assertTrue(granted(host));
        host.settle("p", GRANTED, 5);
        mStore.setDown(true);
        int turns = 0;
        while (granted(host)) {
            turns++;
        }
        assertEquals(3 + OUTAGE_TURNS, turns);
        assertInstanceOf(SpendingResult.Unavailable.class, reserve(host));
        mStore.setDown(false);
        assertTrue(granted(host));
    }

    @Test
    void anIdleHostGivesBackWhatIsScarce() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        for (int i = 0; i < TURNS; i++) {
            assertTrue(granted(first));
        }
        for (int i = 0; i < TURNS; i++) {
            first.settle("p", GRANTED, 0);
        }
        assertInstanceOf(SpendingResult.Exhausted.class, reserve(second));
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        first.upkeep();
        assertTrue(granted(second));
    }

    @Test
    void aReturnWithoutAnswerDoesNotDoubleTheTokens() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        for (int i = 0; i < TURNS; i++) {
            assertTrue(granted(first));
        }
        for (int i = 0; i < TURNS; i++) {
            first.settle("p", GRANTED, 0);
        }
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        mStore.next(Fate.ANSWER_LOST);
        first.upkeep();
        int turns = 0;
        List<SpendingService> hosts = new ArrayList<>(List.of(first, second));
        for (int i = 0; i < 120; i++) {
            turns += granted(hosts.get(i % 2)) ? 1 : 0;
        }
        assertTrue(turns <= TURNS, "turns " + turns);
    }

    @Test
    void aSmallBudgetIsNeverSpentWithoutTheStore() {
        SpendingService host = host(1);
        mStore.setDown(true);
        assertInstanceOf(
                SpendingResult.Unavailable.class, host.reserve("p", 3 * TURN, TURN).join());
    }

    @Test
    void grantsAndOutageAllowancesTogetherStayWithinTheBudget() {
        List<SpendingService> hosts = List.of(host(1), host(2), host(3));
        int turns = 0;
        for (int i = 0; i < 300; i++) {
            mStore.setDown(i % 7 < 3);
            turns += granted(hosts.get(i % 3)) ? 1 : 0;
        }
        assertEquals(TURNS + OUTAGE_TURNS, turns);
    }
}
