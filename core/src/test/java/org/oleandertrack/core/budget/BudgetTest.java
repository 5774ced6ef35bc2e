package org.oleandertrack.core.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class BudgetTest {

    /**
     * Guards against tokens that the previous holder may have used and the next holder does not
     * count.
     */
    @Test
    void openGrantCountsAsSpentAfterTakeover() {
        BudgetAccount account = BudgetAccount.open(1000, 300);
        assertEquals(new BudgetAccount(1000, 300, 300), account.afterTakeover(300));
        assertEquals(new BudgetAccount(1000, 900, 100), account.withGrant(900).afterTakeover(300));
    }

    /** Guards against a grant that exceeds the budget. */
    @Test
    void grantAndSpendingFitTheBudget() {
        assertEquals(100, BudgetAccount.open(100, 300).grantTokens());
        assertThrows(IllegalArgumentException.class, () -> new BudgetAccount(100, 60, 50));
    }

    /**
     * Guards against a renewed grant that is smaller than the reservations made during the write.
     */
    @Test
    void renewedGrantIsNotBelowWhatIsLeft() {
        GrantLedger ledger = new GrantLedger(BudgetAccount.open(1000, 800));
        assertTrue(ledger.reserve(100));
        ledger.settle(100, 40);
        BudgetAccount next = ledger.nextAccount(10);
        assertEquals(new BudgetAccount(1000, 40, 760), next);
        assertTrue(ledger.reserve(760));
        ledger.confirmWritten(next, 40);
        assertEquals(0, ledger.availableTokens());
        assertFalse(ledger.reserve(1));
    }

    /** Guards against overspending across many runs, failed writes and changes of holder. */
    @Property(seed = "20261204", tries = 500)
    void neverOverspent(@ForAll long seed) {
        Random random = new Random(seed);
        BudgetAccount durable = BudgetAccount.open(10_000, 500);
        GrantLedger ledger = new GrantLedger(durable);
        ArrayDeque<Long> reserved = new ArrayDeque<>();
        long trueSpent = 0;
        for (int i = 0; i < 300; i++) {
            int action = random.nextInt(10);
            long worst = random.nextInt(400);
            if (action < 4 && ledger.reserve(worst)) {
                trueSpent += worst;
                reserved.add(worst);
            } else if (action < 7 && !reserved.isEmpty()) {
                long reservation = reserved.poll();
                long used = reservation == 0 ? 0 : random.nextLong(reservation + 1);
                trueSpent -= reservation - used;
                ledger.settle(reservation, used);
            } else if (action < 9) {
                long settled = ledger.usedTokens();
                BudgetAccount next = ledger.nextAccount(random.nextInt(600));
                if (random.nextBoolean()) {
                    durable = next;
                    ledger.confirmWritten(next, settled);
                }
            } else {
                durable = durable.afterTakeover(random.nextInt(600));
                ledger = new GrantLedger(durable);
                reserved.clear();
            }
            assertTrue(trueSpent <= durable.spentTokens() + durable.grantTokens());
            assertTrue(trueSpent <= 10_000);
        }
    }
}
