package org.oleandertrack.core.organisation.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;

/** Guards against hosts that choose different issuers, or together issue more than the limit. */
final class IssuerChoiceTest {

    @Test
    void theOrderOfHostsDoesNotMatterAndALostOneIsReplacedByTheSecond() {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 41; i++) {
            hosts.add("host-" + i);
        }
        List<String> ranked = IssuerRanking.rank("birch", hosts);
        assertEquals(2, ranked.size());
        assertEquals(ranked, IssuerRanking.rank("birch", hosts.reversed()));
        hosts.remove(ranked.getFirst());
        assertEquals(ranked.getLast(), IssuerRanking.rank("birch", hosts).getFirst());
        assertEquals(List.of("a"), IssuerRanking.rank("birch", List.of("a")));
        assertEquals(List.of(), IssuerRanking.rank("birch", List.of()));
    }

    @Test
    void anIssuerWithoutMostHostsIsIsolatedAndOthersLeaveTheSharesOfThoseOutOfReach() {
        assertFalse(IssuerReach.UNKNOWN.isIsolated());
        assertFalse(new IssuerReach(6, 3).isIsolated());
        assertTrue(new IssuerReach(6, 2).isIsolated());
        assertTrue(new IssuerReach(1, 0).isIsolated());
        assertEquals(1, new IssuerReach(6, 6).rateFactor());
        assertEquals(1.03 - 2.0 / 7, new IssuerReach(6, 4).rateFactor(), 1e-9);
    }

    @Test
    void anOwnShareIsThePartOfTheRateWithoutBurst() {
        OwnShares shares = new OwnShares(new Random(1));
        RequestLimit limit = new RequestLimit(28, 100);
        int granted = 0;
        for (int millis = 0; millis <= 10_000; millis += 10) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(millis);
            granted +=
                    shares.issue("birch", limit, 14, nowNanos) instanceof IssueResult.Granted
                            ? 1
                            : 0;
        }
        assertEquals(20, granted);
        IssueResult.Denied denied =
                assertInstanceOf(
                        IssueResult.Denied.class,
                        shares.issue("birch", limit, 14, TimeUnit.SECONDS.toNanos(10)));
        assertTrue(denied.waitMillis() <= 500, denied.toString());
    }
}
