package org.oleandertrack.core.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;

final class TurnOrderTest {

    /** Guards against turns that run out of order, twice or after the end of the program. */
    @Test
    void onlyTheTurnAfterTheHeadRuns() {
        assertEquals(new TurnDecision.Run(), TurnOrder.decide(0, "", false, 1, "a"));
        assertEquals(new TurnDecision.Run(), TurnOrder.decide(4, "a", false, 5, "b"));
        assertEquals(new TurnDecision.Replay(), TurnOrder.decide(4, "a", false, 4, "a"));
        assertEquals(new TurnDecision.Replay(), TurnOrder.decide(4, "a", true, 4, "a"));
        assertRefused(ResultCode.TURN_CONTENT_MISMATCH, TurnOrder.decide(4, "a", false, 4, "b"));
        assertRefused(ResultCode.TURN_OUT_OF_ORDER, TurnOrder.decide(4, "a", false, 3, "a"));
        assertRefused(ResultCode.TURN_OUT_OF_ORDER, TurnOrder.decide(4, "a", false, 6, "a"));
        assertRefused(ResultCode.TURN_OUT_OF_ORDER, TurnOrder.decide(0, "", false, 0, ""));
        assertRefused(ResultCode.PROGRAM_ENDED, TurnOrder.decide(4, "a", true, 5, "b"));
    }

    /** Guards against a digest that does not cover the record, its position or its predecessors. */
    @Test
    void digestCoversRecordAndPredecessors() {
        byte[] a = "abc".getBytes(StandardCharsets.UTF_8);
        byte[] b = "b".getBytes(StandardCharsets.UTF_8);
        String first = HistoryDigest.next(HistoryDigest.EMPTY, a);
        // Digest of the one-block message example in FIPS 180-2.
        assertEquals("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", first);
        assertNotEquals(HistoryDigest.next(first, a), HistoryDigest.next(first, b));
        assertNotEquals(HistoryDigest.next(HistoryDigest.EMPTY, b), HistoryDigest.next(first, b));
    }

    private static void assertRefused(ResultCode code, TurnDecision decision) {
        assertEquals(new TurnDecision.Refuse(code), decision);
    }
}
