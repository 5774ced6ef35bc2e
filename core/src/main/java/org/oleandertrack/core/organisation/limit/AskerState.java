package org.oleandertrack.core.organisation.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * What a host that asks for permits remembers: which issuers its last permits came from, recent
 * denials, the programs that are known to be admitted, and the permits to give back. Thread-safe.
 */
public final class AskerState {

    /** Name under which permits of the host's own share are recorded. */
    public static final String OWN_SHARE = "own share";

    private static final long ISSUER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    // A flood causes at most ten calls per second of each host beside those that get a permit.
    private static final long MAX_LOCAL_DENIAL_MILLIS = 100;
    // A key takes about 80 bytes.
    private static final int MAX_PROGRAMS = 8_192;
    private static final int MAX_RETURNED = 100;

    private final RandomGenerator mRandom;
    private final Map<String, Asked> mOrganisations = new HashMap<>();
    private final ProgramKeys mAdmitted = new ProgramKeys(MAX_PROGRAMS);

    /**
     * Creates an empty state.
     *
     * @param random spreads the returns of clients that are refused without asking the issuer
     */
    public AskerState(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the denial of a request if it would start a program, or belongs to none, and the
     * issuer had no permit shortly before.
     */
    public synchronized Optional<IssueResult.Denied> denyLocally(
            String organisation, OptionalLong program, long nowNanos) {
        Asked asked = mOrganisations.get(organisation);
        if (asked == null
                || !asked.mDenying
                || asked.mDeniedUntilNanos - nowNanos <= 0
                || (program.isPresent() && mAdmitted.contains(program.getAsLong()))) {
            return Optional.empty();
        }
        asked.mLastUsedNanos = nowNanos;
        long waitMillis =
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(asked.mDeniedUntilNanos - nowNanos));
        // Without asking, the host does not know the free times, so it spreads around the last one.
        long retryMillis = (long) (asked.mRetryMillis * (0.5 + mRandom.nextDouble()));
        return Optional.of(
                new IssueResult.Denied(
                        DenialReason.RECENT_DENIAL,
                        0,
                        waitMillis,
                        Math.max(waitMillis, retryMillis),
                        IssueResult.Programs.NONE));
    }

    /** Returns the request for a permit to an issuer, with the permits to give back. */
    public synchronized IssueRequest requestFor(
            String organisation, OptionalLong program, String issuer, long nowNanos) {
        Asked asked = mOrganisations.computeIfAbsent(organisation, name -> new Asked());
        asked.mLastUsedNanos = nowNanos;
        int returned = issuer.equals(asked.mLast) ? asked.mReturned : 0;
        if (returned > 0) {
            asked.mReturned = 0;
        }
        return new IssueRequest(
                organisation,
                program,
                program.isPresent() && mAdmitted.contains(program.getAsLong()),
                asked.otherIssuerAgeMillis(issuer, nowNanos),
                returned,
                issuer.equals(asked.mProgramsIssuer) ? asked.mKnownPrograms : 0);
    }

    /** Records a permit. */
    public synchronized void recordGranted(
            String organisation, OptionalLong program, String issuer, long nowNanos) {
        Asked asked = mOrganisations.computeIfAbsent(organisation, name -> new Asked());
        asked.recordIssuer(issuer, nowNanos);
        program.ifPresent(mAdmitted::add);
    }

    /** Records that an issuer had no permit. */
    public synchronized void recordDenied(
            String organisation, String issuer, IssueResult.Denied denied, long nowNanos) {
        Asked asked = mOrganisations.computeIfAbsent(organisation, name -> new Asked());
        asked.mLastUsedNanos = nowNanos;
        asked.mDenying = true;
        asked.mDeniedUntilNanos =
                nowNanos
                        + TimeUnit.MILLISECONDS.toNanos(
                                Math.min(MAX_LOCAL_DENIAL_MILLIS, denied.waitMillis()));
        asked.mRetryMillis = denied.retryMillis();
        asked.mProgramsIssuer = issuer;
        asked.mKnownPrograms = denied.programs().count();
        mAdmitted.addAll(denied.programs().keys());
    }

    /** Gives back a permit whose request was not sent; it is dropped if the issuer changes. */
    public synchronized void returnPermit(String organisation, String issuer) {
        Asked asked = mOrganisations.get(organisation);
        if (asked != null && issuer.equals(asked.mLast) && asked.mReturned < MAX_RETURNED) {
            asked.mReturned++;
        }
    }

    /** Forgets idle organisations. To be called regularly. */
    public synchronized void dropIdle(long nowNanos) {
        mOrganisations
                .values()
                .removeIf(asked -> nowNanos - asked.mLastUsedNanos > IDLE_RETENTION_NANOS);
    }

    /** State of one organisation. */
    private static final class Asked {
        private String mLast = "";
        private boolean mHasLast;
        private long mLastNanos;
        // The issuer before the last one.
        private String mOther = "";
        private boolean mHasOther;
        private long mOtherNanos;
        private int mReturned;
        private boolean mDenying;
        private long mDeniedUntilNanos;
        private long mRetryMillis;
        private String mProgramsIssuer = "";
        private long mKnownPrograms;
        private long mLastUsedNanos;

        void recordIssuer(String issuer, long nowNanos) {
            if (mHasLast && !issuer.equals(mLast)) {
                mOther = mLast;
                mHasOther = true;
                mOtherNanos = mLastNanos;
                mReturned = 0;
            }
            mLast = issuer;
            mHasLast = true;
            mLastNanos = nowNanos;
            mLastUsedNanos = nowNanos;
        }

        OptionalLong otherIssuerAgeMillis(String issuer, long nowNanos) {
            if (mHasLast && !issuer.equals(mLast)) {
                return ageMillis(mLastNanos, nowNanos);
            }
            return mHasOther && !issuer.equals(mOther)
                    ? ageMillis(mOtherNanos, nowNanos)
                    : OptionalLong.empty();
        }

        private static OptionalLong ageMillis(long sinceNanos, long nowNanos) {
            long ageNanos = nowNanos - sinceNanos;
            return ageNanos > ISSUER_RETENTION_NANOS
                    ? OptionalLong.empty()
                    : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(ageNanos));
        }
    }
}
