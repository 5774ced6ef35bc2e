package org.oleandertrack.core.organisation.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;

/** Guards against permits that an issuer forgets, or that it adds to those of another issuer. */
final class PermitIssuerStateTest {

    private static final RequestLimit LIMIT = new RequestLimit(10, 30);
    // Burst and allowance for requests that arrive early or late.
    private static final int FULL = 43;

    private long mNowMillis = TimeUnit.HOURS.toMillis(1);
    private long mFrozenMillis;
    private PermitIssuerState mState = new PermitIssuerState(new Random(1), 0, 0);

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis - mFrozenMillis);
    }

    private static IssueRequest request(OptionalLong otherIssuerAgeMillis, int returned) {
        return new IssueRequest(
                "birch", OptionalLong.empty(), false, otherIssuerAgeMillis, returned, 0);
    }

    private IssueResult issue(IssueRequest request, RequestLimit limit, int rank) {
        return mState.issue(request, limit, 1, rank, false, nanos(), mNowMillis);
    }

    private int issueAll(RequestLimit limit, int rank) {
        int granted = 0;
        while (issue(request(OptionalLong.empty(), 0), limit, rank)
                instanceof IssueResult.Granted) {
            granted++;
        }
        return granted;
    }

    @Test
    void anIdleOrganisationHasItsBurstAndThenItsRate() {
        assertEquals(FULL, issueAll(LIMIT, 1));
        mNowMillis += 1_000;
        assertEquals(10, issueAll(LIMIT, 1));
    }

    @Test
    void aStartedProcessIssuesWhatHasAccruedSinceItsStart() {
        mState = new PermitIssuerState(new Random(1), nanos(), mNowMillis);
        assertEquals(0, issueAll(LIMIT, 1));
        mNowMillis += 700;
        assertEquals(7, issueAll(LIMIT, 1));
    }

    @Test
    void aPermitIssuedElsewhereEmptiesTheBucketOnce() {
        issueAll(LIMIT, 1);
        mNowMillis += 1_000;
        assertInstanceOf(
                IssueResult.Denied.class, issue(request(OptionalLong.of(10), 0), LIMIT, 1));
        mNowMillis += 1_000;
        // The same permit, stated again: the bucket was emptied after it.
        assertInstanceOf(
                IssueResult.Granted.class, issue(request(OptionalLong.of(1_010), 0), LIMIT, 1));
    }

    @Test
    void aSubstituteStartsEmptyEachTimeItTakesOver() {
        assertEquals(0, issueAll(LIMIT, 2));
        // The first 150 ms are left to an issuer that has not noticed yet that it is cut off.
        mNowMillis += 950;
        assertEquals(8, issueAll(LIMIT, 2));
        mNowMillis += 5_000;
        assertEquals(0, issueAll(LIMIT, 2));
    }

    @Test
    void aFreezeEmptiesAllBuckets() {
        assertInstanceOf(
                IssueResult.Granted.class, issue(request(OptionalLong.empty(), 0), LIMIT, 1));
        mNowMillis += 1_200;
        mFrozenMillis += 1_200;
        assertEquals(0, issueAll(LIMIT, 1));
    }

    @Test
    void aLowerLimitAppliesAtOnce() {
        assertEquals(14, issueAll(new RequestLimit(20, 0), 1));
        mNowMillis += 1_000;
        assertEquals(12, issueAll(new RequestLimit(2, 0), 1));
        mNowMillis += 1_000;
        assertEquals(2, issueAll(new RequestLimit(2, 0), 1));
    }

    @Test
    void returnedPermitsAreIssuedAgainButNoMoreThanWereIssued() {
        assertEquals(FULL, issueAll(LIMIT, 1));
        assertInstanceOf(
                IssueResult.Granted.class, issue(request(OptionalLong.empty(), 3), LIMIT, 1));
        assertEquals(2, issueAll(LIMIT, 1));
        assertInstanceOf(
                IssueResult.Denied.class, issue(request(OptionalLong.of(0), 50), LIMIT, 1));
    }

    /** Guards against memory that grows with the number of organisations ever seen. */
    @Test
    void anIdleOrganisationIsForgottenWithoutLosingItsBurst() {
        issueAll(LIMIT, 1);
        mNowMillis += 61_000;
        mState.runMaintenance(nanos(), mNowMillis);
        assertFalse(mState.isIssuer("birch", 2, nanos()));
        assertEquals(FULL, issueAll(LIMIT, 1));
    }

    /** Guards against two issuers while a new host is known to some hosts only. */
    @Test
    void aNewHostLeavesTheIssuingToThePreviousOneForAWhile() {
        mState.recordHostChange(nanos());
        assertFalse(mState.isIssuer("birch", 1, nanos()));
        mState.recordIssuedElsewhere("birch", LIMIT, nanos());
        mNowMillis += 3_000;
        mState.recordIssuedElsewhere("birch", LIMIT, nanos());
        assertTrue(mState.isIssuer("birch", 1, nanos()));
        assertEquals(0, issueAll(LIMIT, 1));
    }

    /** Guards against refused clients that all return at the same moment. */
    @Test
    void refusedClientsReturnAtTheRateOfTheLimit() {
        issueAll(new RequestLimit(10, 0), 1);
        long previousMillis = 0;
        for (int i = 0; i < 20; i++) {
            IssueResult.Denied denied =
                    assertInstanceOf(
                            IssueResult.Denied.class,
                            issue(request(OptionalLong.empty(), 0), new RequestLimit(10, 0), 1));
            assertTrue(denied.retryMillis() >= previousMillis + 99, denied + " " + previousMillis);
            previousMillis = denied.retryMillis();
        }
    }
}
