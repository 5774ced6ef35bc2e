package org.oleandertrack.coordination.spending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.spending.FakeRowStore.Fate;
import org.oleandertrack.coordination.store.WriteIds;

/**
 * Guards against programs that generate more than their budget, over hosts, restarts and outages.
 */
final class SpendingServiceTest {

    private static final long BUDGET = 1_000;
    private static final long TURN = 100;

    private final FakeRowStore mStore = new FakeRowStore();
    private long mNowNanos;

    private SpendingService host(long seed) {
        return new SpendingService(mStore, new WriteIds(new Random(seed)), () -> mNowNanos);
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
        for (int i = 0; i < 60; i++) {
            turns += granted(hosts.get(i % 3)) ? 1 : 0;
        }
        assertEquals(10, turns);
        assertInstanceOf(SpendingResult.Exhausted.class, reserve(hosts.getFirst()));
    }

    @Test
    void spendingIsRememberedOverRestarts() {
        int turns = 0;
        for (int restart = 0; restart < 40; restart++) {
            turns += granted(host(restart)) ? 1 : 0;
        }
        assertTrue(turns <= 10, "turns " + turns);
    }

    @Test
    void tokensThatWereNotGeneratedCanBeReservedAgain() {
        SpendingService host = host(1);
        int turns = 0;
        while (granted(host)) {
            host.settle("p", TURN, 20);
            turns++;
        }
        assertEquals(46, turns);
    }

    @Test
    void furtherTurnsOfAProgramNeedNoWrite() {
        SpendingService host = host(1);
        for (int i = 0; i < 6; i++) {
            assertTrue(granted(host));
            host.settle("p", TURN, 5);
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
        assertEquals(10, turns);
    }

    @Test
    void aLateWriteOfOneHostIsSeenByAnother() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        mStore.next(Fate.LATE);
        mStore.next(Fate.REFUSED);
        assertInstanceOf(SpendingResult.Unavailable.class, reserve(first));
        mStore.applyLate();
        int turns = 0;
        for (int i = 0; i < 40; i++) {
            turns += granted(second) ? 1 : 0;
            turns += granted(first) ? 1 : 0;
        }
        assertTrue(turns <= 10, "turns " + turns);
    }

    @Test
    void withoutTheStoreOnlyGrantsInHandAreSpent() {
        SpendingService host = host(1);
        assertTrue(granted(host));
        host.settle("p", TURN, 5);
        mStore.setDown(true);
        assertTrue(granted(host));
        assertInstanceOf(SpendingResult.Unavailable.class, reserve(host));
        mStore.setDown(false);
        assertTrue(granted(host));
    }

    @Test
    void anIdleHostGivesBackWhatIsScarce() {
        SpendingService first = host(1);
        SpendingService second = host(2);
        for (int i = 0; i < 10; i++) {
            assertTrue(granted(first));
        }
        for (int i = 0; i < 10; i++) {
            first.settle("p", TURN, 0);
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
        for (int i = 0; i < 10; i++) {
            assertTrue(granted(first));
        }
        for (int i = 0; i < 10; i++) {
            first.settle("p", TURN, 0);
        }
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        mStore.next(Fate.ANSWER_LOST);
        first.upkeep();
        int turns = 0;
        List<SpendingService> hosts = new ArrayList<>(List.of(first, second));
        for (int i = 0; i < 40; i++) {
            turns += granted(hosts.get(i % 2)) ? 1 : 0;
        }
        assertTrue(turns <= 10, "turns " + turns);
    }
}
