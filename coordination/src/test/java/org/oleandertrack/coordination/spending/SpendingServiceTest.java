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

    private static final long BUDGET_TOKENS = 4_000;
    private static final long TURN_TOKENS = 100;
    // A quarter of the budget is reserved for outages of the store.
    private static final int MAX_GRANTED_TURNS = 30;
    private static final int MAX_ALLOWANCE_TURNS = 10;
    private static final SpendingResult.Reserved RESERVED_TURN =
            new SpendingResult.Reserved(TURN_TOKENS, false);

    private final FakeRowStore mStore = new FakeRowStore();
    private final OutageAllowances mAllowance = new OutageAllowances(() -> 0);
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
                public void returnTokens(String program, long tokens) {
                    mAllowance.returnTokens(program, tokens);
                }
            };

    private SpendingService host(long seed) {
        return new SpendingService(
                mStore, mIssuer, new WriteIds(new Random(seed)), () -> mNowNanos);
    }

    private static SpendingResult reserve(SpendingService host) {
        return host.reserve("p", BUDGET_TOKENS, TURN_TOKENS).join();
    }

    private static boolean tryReserve(SpendingService host) {
        return reserve(host) instanceof SpendingResult.Reserved;
    }

    @Test
    void hostsTogetherNeverReserveMoreThanTheBudget() {
        List<SpendingService> hosts = List.of(host(1), host(2), host(3));
        int turns = 0;
        for (int i = 0; i < 150; i++) {
            turns += tryReserve(hosts.get(i % 3)) ? 1 : 0;
        }
        assertEquals(MAX_GRANTED_TURNS, turns);
        assertInstanceOf(SpendingResult.Exhausted.class, reserve(hosts.getFirst()));
    }

    @Test
    void spendingIsRememberedOverRestarts() {
        int turns = 0;
        for (int restart = 0; restart < 40; restart++) {
            turns += tryReserve(host(restart)) ? 1 : 0;
        }
        assertTrue(turns <= MAX_GRANTED_TURNS, "turns " + turns);
    }

    @Test
    void tokensThatWereNotGeneratedCanBeReservedAgain() {
        SpendingService host = host(1);
        int turns = 0;
        while (tryReserve(host)) {
            host.settle("p", RESERVED_TURN, 20);
            turns++;
        }
        assertEquals(146, turns);
    }

    @Test
    void furtherTurnsOfAProgramNeedNoWrite() {
        SpendingService host = host(1);
        for (int i = 0; i < 6; i++) {
            assertTrue(tryReserve(host));
            host.settle("p", RESERVED_TURN, 5);
        }
        assertEquals(1, mStore.transactions());
    }

    @Test
    void aLostAnswerIsReadBack() {
        mStore.setNextFates(Fate.ANSWER_LOST);
        assertTrue(tryReserve(host(1)));
        assertEquals(1, mStore.transactions());
    }

    @Test
    void aWriteThatTakesEffectLateIsNeverCountedTwice() {
        SpendingService host = host(1);
        mStore.setNextFates(Fate.LATE);
        assertTrue(tryReserve(host));
        mStore.applyLate();
        int turns = 1;
        while (tryReserve(host)) {
            turns++;
        }
        assertEquals(MAX_GRANTED_TURNS, turns);
    }

    @Test
    void aLateWriteOfOneHostIsSeenByAnother() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        mStore.setNextFates(Fate.LATE);
        mStore.setNextFates(Fate.REFUSED);
        assertInstanceOf(SpendingResult.Reserved.class, reserve(first));
        mStore.applyLate();
        int turns = 0;
        for (int i = 0; i < 120; i++) {
            turns += tryReserve(second) ? 1 : 0;
            turns += tryReserve(first) ? 1 : 0;
        }
        assertTrue(turns <= MAX_GRANTED_TURNS, "turns " + turns);
    }

    @Test
    void withoutTheStoreOnlyGrantedTokensAndTheAllowanceAreSpent() {
        SpendingService host = host(1);
        assertTrue(tryReserve(host));
        host.settle("p", RESERVED_TURN, 5);
        mStore.setDown(true);
        int turns = 0;
        while (tryReserve(host)) {
            turns++;
        }
        assertEquals(3 + MAX_ALLOWANCE_TURNS, turns);
        assertInstanceOf(SpendingResult.Unavailable.class, reserve(host));
        mStore.setDown(false);
        assertTrue(tryReserve(host));
    }

    @Test
    void anIdleHostReturnsTokensOfAScarceBudget() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        for (int i = 0; i < MAX_GRANTED_TURNS; i++) {
            assertTrue(tryReserve(first));
        }
        for (int i = 0; i < MAX_GRANTED_TURNS; i++) {
            first.settle("p", RESERVED_TURN, 0);
        }
        assertInstanceOf(SpendingResult.Exhausted.class, reserve(second));
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        first.runMaintenance();
        assertTrue(tryReserve(second));
    }

    @Test
    void aReturnWithoutAnswerDoesNotDoubleTheTokens() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        for (int i = 0; i < MAX_GRANTED_TURNS; i++) {
            assertTrue(tryReserve(first));
        }
        for (int i = 0; i < MAX_GRANTED_TURNS; i++) {
            first.settle("p", RESERVED_TURN, 0);
        }
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        mStore.setNextFates(Fate.ANSWER_LOST);
        first.runMaintenance();
        int turns = 0;
        List<SpendingService> hosts = new ArrayList<>(List.of(first, second));
        for (int i = 0; i < 120; i++) {
            turns += tryReserve(hosts.get(i % 2)) ? 1 : 0;
        }
        assertTrue(turns <= MAX_GRANTED_TURNS, "turns " + turns);
    }

    @Test
    void aSmallBudgetIsNeverSpentWithoutTheStore() {
        SpendingService host = host(1);
        mStore.setDown(true);
        assertInstanceOf(
                SpendingResult.Unavailable.class,
                host.reserve("p", 3 * TURN_TOKENS, TURN_TOKENS).join());
    }

    @Test
    void grantsAndOutageAllowancesTogetherStayWithinTheBudget() {
        List<SpendingService> hosts = List.of(host(1), host(2), host(3));
        int turns = 0;
        for (int i = 0; i < 300; i++) {
            mStore.setDown(i % 7 < 3);
            turns += tryReserve(hosts.get(i % 3)) ? 1 : 0;
        }
        assertEquals(MAX_GRANTED_TURNS + MAX_ALLOWANCE_TURNS, turns);
    }
}
