package org.oleandertrack.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class UnchangedWatchTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_GAP_NANOS = 2 * SECOND;

    private final UnchangedWatch mWatch = new UnchangedWatch();

    /** Guards against counting time before the row was written: counting starts with an answer. */
    @Test
    void countsFromTheFirstAnswerToTheLatestRequest() {
        mWatch.onAnswer(1, 0, SECOND, MAX_GAP_NANOS);
        mWatch.onAnswer(1, 2 * SECOND, 4 * SECOND, MAX_GAP_NANOS);
        assertTrue(mWatch.hasLeaseExpired(990));
        assertFalse(mWatch.hasLeaseExpired(991));
    }

    /**
     * Guards against counting time in which the store did not answer or this process was paused.
     */
    @Test
    void timeWithoutAnswersDoesNotCount() {
        mWatch.onAnswer(1, 0, 0, MAX_GAP_NANOS);
        mWatch.onRequestFailed();
        mWatch.onAnswer(1, SECOND, SECOND, MAX_GAP_NANOS);
        mWatch.onAnswer(1, 4 * SECOND, 4 * SECOND, MAX_GAP_NANOS);
        assertFalse(mWatch.hasLeaseExpired(1));
        mWatch.onAnswer(1, 5 * SECOND, 5 * SECOND, MAX_GAP_NANOS);
        assertTrue(mWatch.hasLeaseExpired(990));
        assertFalse(mWatch.hasLeaseExpired(991));
    }

    /** Guards against adding up the times of different versions of the row. */
    @Test
    void changeOfTheRowStartsAgain() {
        mWatch.onAnswer(1, 0, 0, MAX_GAP_NANOS);
        mWatch.onAnswer(1, SECOND, SECOND, MAX_GAP_NANOS);
        assertEquals(false, mWatch.hasChanged());
        mWatch.onAnswer(2, 2 * SECOND, 2 * SECOND, MAX_GAP_NANOS);
        assertFalse(mWatch.hasLeaseExpired(1));
        assertTrue(mWatch.hasChanged());
    }
}
