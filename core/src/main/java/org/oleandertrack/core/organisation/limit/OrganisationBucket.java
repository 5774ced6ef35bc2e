package org.oleandertrack.core.organisation.limit;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.organisation.RequestLimit;

/** The permits of one organisation at the host that issues them. Not thread-safe. */
final class OrganisationBucket {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    // A window of 5 s may have 20 requests and 10% more than the limit. This part of it lets the
    // calls of a few programs arrive together, which matters to organisations of 5 or 6 requests a
    // second. The rest covers the time in which two hosts issue permits after a loss of contact.
    private static final double JITTER_REQUESTS = 12;
    private static final double JITTER_SECONDS = 0.1;
    // A host that is not the first in the order issues only while the first one does not respond.
    // If it was not asked for this time, the first one has probably issued permits meanwhile.
    private static final long SUBSTITUTE_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);
    // A first issuer that is cut off notices it 0.3 s later, and the asking hosts wait for it for
    // 0.15 s. Until then both would issue.
    private static final long TAKEOVER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    // The number of returned permits of one call is bounded, because it comes from a peer.
    private static final int MAX_RETURNED = 100;

    private final TokenBucket mTokens;
    private final ProgramGate mGate;
    private final ReturnSpread mReturns;
    private RequestLimit mLimit;
    private int mRank;
    private long mEmptiedNanos;
    private long mLastUsedNanos;
    private long mIssuedSinceEmptied;

    /**
     * Creates a bucket with the permits that have accrued since a time.
     *
     * @param rank position of this host in the order of the organisation's issuers, from 1
     */
    OrganisationBucket(
            RequestLimit limit, int rank, long sinceNanos, RandomGenerator random, long nowNanos) {
        mLimit = limit;
        mRank = rank;
        mReturns = new ReturnSpread(random);
        mGate = new ProgramGate(nowNanos);
        long startNanos = rank == 1 ? sinceNanos : nowNanos + TAKEOVER_DELAY_NANOS;
        mTokens = new TokenBucket(limit.requestsPerSecond(), capacity(limit), startNanos);
        mEmptiedNanos = rank == 1 ? sinceNanos : nowNanos;
        mLastUsedNanos = nowNanos;
    }

    /** Returns the number of permits that an idle organisation accumulates. */
    static double capacity(RequestLimit limit) {
        return limit.burst() + JITTER_REQUESTS + JITTER_SECONDS * limit.requestsPerSecond();
    }

    // Accessors

    int rank() {
        return mRank;
    }

    long lastUsedNanos() {
        return mLastUsedNanos;
    }

    /** Returns whether a bucket created anew would have as many permits. */
    boolean isFull(long nowNanos) {
        return mRank == 1 && mTokens.isFull(nowNanos);
    }

    // Operations

    IssueResult issue(
            IssueRequest request, RequestLimit limit, double rateFactor, int rank, long nowNanos) {
        applyRank(rank, nowNanos);
        applyOtherIssuer(request, nowNanos);
        mLimit = limit;
        mTokens.configure(limit.requestsPerSecond() * rateFactor, capacity(limit), nowNanos);
        mLastUsedNanos = nowNanos;
        int returned =
                (int)
                        Math.min(
                                mIssuedSinceEmptied,
                                Math.min(MAX_RETURNED, request.returnedPermits()));
        if (returned > 0) {
            mIssuedSinceEmptied -= returned;
            mTokens.add(returned, nowNanos);
        }
        return decide(request, nowNanos);
    }

    void empty(long nowNanos) {
        mTokens.empty(nowNanos);
        mEmptiedNanos = nowNanos;
        mIssuedSinceEmptied = 0;
    }

    /** Records that another host issued a permit. */
    void recordIssuedElsewhere(long nowNanos) {
        empty(nowNanos);
        mRank = 2;
        mLastUsedNanos = nowNanos;
    }

    void sweep(long nowNanos) {
        mGate.sweep(nowNanos);
    }

    // Helpers

    private void applyRank(int rank, long nowNanos) {
        boolean becameSubstitute = rank > 1 && mRank == 1;
        boolean resumes = rank > 1 && nowNanos - mLastUsedNanos > SUBSTITUTE_IDLE_NANOS;
        if (becameSubstitute || resumes) {
            empty(nowNanos);
            mTokens.empty(nowNanos + TAKEOVER_DELAY_NANOS);
        }
        mRank = rank;
    }

    private void applyOtherIssuer(IssueRequest request, long nowNanos) {
        if (request.otherIssuerAgeMillis().isEmpty()) {
            return;
        }
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(request.otherIssuerAgeMillis().getAsLong());
        if (nowNanos - ageNanos - mEmptiedNanos > 0) {
            empty(nowNanos);
        }
    }

    private IssueResult decide(IssueRequest request, long nowNanos) {
        boolean inProgress =
                request.program().isPresent()
                        && (request.programAdmitted()
                                || mGate.isAdmitted(request.program().getAsLong()));
        boolean starts = request.program().isPresent() && !inProgress;
        double reserve = inProgress ? 0 : mGate.reserve(mTokens.capacity(), nowNanos);
        if (starts && !mGate.mayStart(mLimit, nowNanos)) {
            if (mTokens.tokens(nowNanos) < mTokens.capacity() / 2) {
                mGate.extendContention(nowNanos);
            }
            return deny(DenialReason.PROGRAM_GATE, request, reserve, nowNanos);
        }
        if (!mTokens.tryTake(reserve, nowNanos)) {
            mGate.recordDenied(request.program().orElse(0), nowNanos);
            return deny(DenialReason.RATE, request, reserve, nowNanos);
        }
        mIssuedSinceEmptied++;
        request.program()
                .ifPresent(
                        program ->
                                mGate.recordGranted(program, request.programAdmitted(), nowNanos));
        return new IssueResult.Granted();
    }

    private IssueResult deny(
            DenialReason reason, IssueRequest request, double reserve, long nowNanos) {
        long waitNanos = mTokens.waitNanos(reserve, nowNanos);
        long intervalNanos =
                switch (reason) {
                    case PROGRAM_GATE -> mGate.startIntervalNanos(mLimit);
                    case RATE, RECENT_DENIAL, OWN_SHARE ->
                            (long) (NANOS_PER_SECOND / mLimit.requestsPerSecond());
                };
        long earliestNanos =
                reason == DenialReason.PROGRAM_GATE
                        ? Math.max(waitNanos, intervalNanos)
                        : waitNanos;
        return new IssueResult.Denied(
                reason,
                mTokens.tokens(nowNanos),
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(earliestNanos)),
                mReturns.nextMillis(earliestNanos, intervalNanos, nowNanos),
                mGate.admittedSince(request.knownPrograms()));
    }
}
