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
        mWatch.seen(1, 0, SECOND, MAX_GAP_NANOS);
        mWatch.seen(1, 2 * SECOND, 4 * SECOND, MAX_GAP_NANOS);
        assertTrue(mWatch.expired(990));
        assertFalse(mWatch.expired(991));
    }

    /**
     * Guards against counting time in which the store did not answer or this process was paused.
     */
    @Test
    void timeWithoutAnswersDoesNotCount() {
        mWatch.seen(1, 0, 0, MAX_GAP_NANOS);
        mWatch.interrupted();
        mWatch.seen(1, SECOND, SECOND, MAX_GAP_NANOS);
        mWatch.seen(1, 4 * SECOND, 4 * SECOND, MAX_GAP_NANOS);
        assertFalse(mWatch.expired(1));
        mWatch.seen(1, 5 * SECOND, 5 * SECOND, MAX_GAP_NANOS);
        assertTrue(mWatch.expired(990));
        assertFalse(mWatch.expired(991));
    }

    /** Guards against adding up the times of different versions of the row. */
    @Test
    void changeOfTheRowStartsAgain() {
        mWatch.seen(1, 0, 0, MAX_GAP_NANOS);
        mWatch.seen(1, SECOND, SECOND, MAX_GAP_NANOS);
        assertEquals(false, mWatch.hasChanged());
        mWatch.seen(2, 2 * SECOND, 2 * SECOND, MAX_GAP_NANOS);
        assertFalse(mWatch.expired(1));
        assertTrue(mWatch.hasChanged());
    }
}
