package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteShare;

/** Guards against calls that a stopping process sends and then has to end without a response. */
final class StopAdmissionTest {

    private static final long TIMEOUT_MILLIS = 6_000;
    private static final long OBJECTIVE_MILLIS = 200;
    private static final long UNTIL_END_MILLIS = 7_400;

    private final AtomicLong mNowNanos = new AtomicLong(Long.MAX_VALUE - 1);
    private final StopAdmission mAdmission = new StopAdmission(mNowNanos::get);

    private static Route route(RequestKind kind, boolean resumable) {
        return new Route(
                "r",
                "host",
                "/r/",
                kind,
                TIMEOUT_MILLIS,
                OBJECTIVE_MILLIS,
                0,
                3,
                resumable,
                300,
                false,
                0,
                false,
                List.of(new RouteShare("s", 1)));
    }

    private void advance(long millis) {
        mNowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void aProcessThatDoesNotStopSendsEveryCall() {
        assertTrue(mAdmission.maySend(route(RequestKind.UNSAFE, false), Long.MAX_VALUE));
        assertFalse(mAdmission.isClosed());
    }

    @Test
    void aCallThatMayNotBeRepeatedIsSentIfItsDeadlineIsBeforeTheEnd() {
        Route route = route(RequestKind.UNSAFE, false);
        mAdmission.beginStop(UNTIL_END_MILLIS);
        advance(1_400);
        assertTrue(mAdmission.maySend(route, 6_000));
        advance(1);
        assertFalse(mAdmission.maySend(route, 6_000));
        assertTrue(mAdmission.maySend(route, 5_999));
    }

    @Test
    void aStreamIsSentIfItsDeadlineIsBeforeTheEndEvenIfItCanBeResumed() {
        Route route = route(RequestKind.STREAMING, true);
        mAdmission.beginStop(UNTIL_END_MILLIS);
        advance(1_401);
        assertFalse(mAdmission.maySend(route, 6_000));
    }

    @Test
    void aSafeCallIsSentIfItsLatencyObjectiveIsBeforeTheEnd() {
        Route route = route(RequestKind.SAFE, false);
        mAdmission.beginStop(UNTIL_END_MILLIS);
        advance(UNTIL_END_MILLIS - OBJECTIVE_MILLIS);
        assertTrue(mAdmission.maySend(route, 6_000));
        advance(1);
        assertFalse(mAdmission.maySend(route, 6_000));
        assertTrue(mAdmission.maySend(route, 100));
    }

    @Test
    void aCallWhoseDeadlineIsBeyondAnyGraceIsRefusedAtOnce() {
        mAdmission.beginStop(500);
        assertFalse(mAdmission.maySend(route(RequestKind.UNSAFE, false), 6_000));
    }

    @Test
    void aClosedAdmissionStillSendsCallsThatWereTaken() {
        mAdmission.beginStop(UNTIL_END_MILLIS);
        mAdmission.close();
        assertTrue(mAdmission.isClosed());
        assertTrue(mAdmission.maySend(route(RequestKind.UNSAFE, false), 1_000));
    }
}
