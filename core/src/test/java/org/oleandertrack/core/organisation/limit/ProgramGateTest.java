package org.oleandertrack.core.organisation.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;

/** Guards against programs that are started and cannot be completed within the limit. */
final class ProgramGateTest {

    private static final RequestLimit LIMIT = new RequestLimit(10, 10);

    private final ProgramGate mGate = new ProgramGate(0);
    private long mNowNanos;

    private void pass(long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void learn(int programs, int requests) {
        for (long program = 1; program <= programs; program++) {
            for (int i = 0; i < requests; i++) {
                mGate.recordGranted(program, false, mNowNanos);
            }
        }
        pass(20_000);
        mGate.sweep(mNowNanos);
    }

    @Test
    void theMeanIsLearnedFromCompletePrograms() {
        learn(10, 6);
        assertEquals(6, mGate.requestsPerProgram(), 0.01);
    }

    @Test
    void programsCutShortByRefusalsDoNotLowerTheMean() {
        learn(10, 6);
        mGate.recordGranted(100, false, mNowNanos);
        mGate.recordDenied(100, mNowNanos);
        pass(70_000);
        mGate.sweep(mNowNanos);
        assertEquals(6, mGate.requestsPerProgram(), 0.01);
    }

    @Test
    void noMoreProgramsStartThanTheLimitCompletesWhileRequestsAreRefused() {
        learn(10, 6);
        mGate.recordDenied(0, mNowNanos);
        int started = 0;
        for (int i = 0; i < 1_000; i++) {
            pass(10);
            mGate.recordDenied(0, mNowNanos);
            if (mGate.mayStart(LIMIT, mNowNanos)) {
                mGate.recordGranted(1_000 + i, false, mNowNanos);
                started++;
            }
        }
        // 10 requests per second for 10 s are 16 programs of 6.
        assertTrue(started >= 13 && started <= 17, "started " + started);
    }

    @Test
    void nothingIsRefusedBelowTheLimit() {
        learn(10, 6);
        for (int i = 0; i < 16; i++) {
            assertTrue(mGate.mayStart(LIMIT, mNowNanos), "program " + i);
            mGate.recordGranted(1_000 + i, false, mNowNanos);
        }
        assertEquals(0, mGate.reserve(20, mNowNanos));
    }

    @Test
    void farMoreProgramsThanTheLimitCompletesAreRefusedBeforeAnyRequestIs() {
        learn(10, 6);
        int started = 0;
        while (mGate.mayStart(LIMIT, mNowNanos)) {
            mGate.recordGranted(1_000 + started, false, mNowNanos);
            started++;
        }
        assertTrue(started <= 24, "started " + started);
        pass(5_500);
        assertTrue(mGate.mayStart(LIMIT, mNowNanos));
    }

    @Test
    void programsAdmittedElsewhereAreNotCountedAgain() {
        learn(10, 6);
        for (int i = 0; i < 100; i++) {
            mGate.recordGranted(1_000 + i, true, mNowNanos);
        }
        assertTrue(mGate.isAdmitted(1_050));
        assertTrue(mGate.mayStart(LIMIT, mNowNanos));
    }

    /** Guards against memory that grows with the number of programs. */
    @Test
    void theNumberOfProgramsIsBounded() {
        for (long program = 0; program < 5_000; program++) {
            mGate.recordGranted(program, false, mNowNanos);
        }
        assertFalse(mGate.isAdmitted(0));
        assertTrue(mGate.isAdmitted(4_999));
        assertEquals(1, mGate.requestsPerProgram(), 0.01);
    }

    @Test
    void hostsAreToldOfTheProgramsThatTheyDoNotKnow() {
        mGate.recordGranted(7, false, mNowNanos);
        mGate.recordGranted(8, false, mNowNanos);
        assertEquals(new IssueResult.Programs(List.of(8L), 2), mGate.admittedSince(1));
        // The number of an issuer that has restarted is ahead.
        assertEquals(new IssueResult.Programs(List.of(7L, 8L), 2), mGate.admittedSince(99));
    }
}
