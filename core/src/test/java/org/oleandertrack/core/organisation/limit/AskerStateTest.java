package org.oleandertrack.core.organisation.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a host that hides permits of one issuer from another, or floods an issuer. */
final class AskerStateTest {

    private static final String NAME = "birch";
    private static final OptionalLong PROGRAM = OptionalLong.of(7);
    private static final OptionalLong NONE = OptionalLong.empty();

    private final AskerState mState = new AskerState(new Random(1));
    private long mNowNanos = 1;

    private void pass(long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private IssueRequest requestFor(String issuer) {
        return mState.requestFor(NAME, PROGRAM, issuer, mNowNanos);
    }

    private void deny(long waitMillis, List<Long> programs) {
        mState.recordDenied(
                NAME,
                "a",
                new IssueResult.Denied(
                        DenialReason.RATE,
                        0,
                        waitMillis,
                        200,
                        new IssueResult.Programs(programs, programs.size())),
                mNowNanos);
    }

    @Test
    void theAgeOfPermitsOfOtherIssuersIsStated() {
        assertEquals(NONE, requestFor("a").otherIssuerAgeMillis());
        mState.recordGranted(NAME, NONE, "a", mNowNanos);
        pass(100);
        assertEquals(NONE, requestFor("a").otherIssuerAgeMillis());
        assertEquals(OptionalLong.of(100), requestFor("b").otherIssuerAgeMillis());
        mState.recordGranted(NAME, NONE, "b", mNowNanos);
        pass(50);
        assertEquals(OptionalLong.of(50), requestFor("a").otherIssuerAgeMillis());
        assertEquals(OptionalLong.of(150), requestFor("b").otherIssuerAgeMillis());
        pass(10_000);
        assertEquals(NONE, requestFor("a").otherIssuerAgeMillis());
    }

    @Test
    void permitsOfTheOwnShareCountAsThoseOfAnotherIssuer() {
        mState.recordGranted(NAME, NONE, AskerState.OWN_SHARE, mNowNanos);
        pass(20);
        assertEquals(OptionalLong.of(20), requestFor("a").otherIssuerAgeMillis());
    }

    @Test
    void newProgramsAreRefusedForAtMostAHundredMillisecondsAfterARefusal() {
        assertTrue(mState.denyLocally(NAME, PROGRAM, mNowNanos).isEmpty());
        deny(5_000, List.of());
        pass(99);
        assertTrue(mState.denyLocally(NAME, PROGRAM, mNowNanos).isPresent());
        assertTrue(mState.denyLocally("cedar", PROGRAM, mNowNanos).isEmpty());
        pass(2);
        assertTrue(mState.denyLocally(NAME, PROGRAM, mNowNanos).isEmpty());
    }

    /** Guards against refusals of programs that were admitted through another host. */
    @Test
    void programsThatTheIssuerHasAdmittedAreNotRefusedWithoutAsking() {
        deny(50, List.of(7L));
        assertTrue(mState.denyLocally(NAME, PROGRAM, mNowNanos).isEmpty());
        assertTrue(mState.denyLocally(NAME, OptionalLong.of(8), mNowNanos).isPresent());
        assertTrue(requestFor("a").programAdmitted());
        assertEquals(1, requestFor("a").knownPrograms());
        assertEquals(0, requestFor("b").knownPrograms());
    }

    @Test
    void unusedPermitsAreReturnedOnceAndOnlyToTheirIssuer() {
        mState.recordGranted(NAME, NONE, "a", mNowNanos);
        mState.returnPermit(NAME, "a");
        mState.returnPermit(NAME, "other");
        assertEquals(0, requestFor("b").returnedPermits());
        assertEquals(1, requestFor("a").returnedPermits());
        assertEquals(0, requestFor("a").returnedPermits());
    }
}
