package org.oleandertrack.core.organisation.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.organisation.RequestLimit;

/**
 * The permits that this host issues for the requests of organisations. Thread-safe.
 *
 * <p>The sum of all hosts' permits must not exceed the limit although another host may have issued
 * permits before. A bucket therefore holds at most what has accrued since this process started,
 * since the known hosts changed, since it was frozen, and since another host last issued a permit.
 */
public final class PermitIssuerState {

    // Bounds the memory: a bucket takes about 500 bytes without its programs, and a host is first
    // in the order for a few of 2,800 organisations.
    private static final int MAX_BUCKETS = 4_096;
    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    // Other hosts ask the next issuer after 150 ms and skip an unresponsive one for 1 s.
    private static final long MAX_FREEZE_MILLIS = 1_000;

    // A new host is known to the others within this time; until then they ask the previous issuer.
    private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final RandomGenerator mRandom;
    private final Map<String, OrganisationBucket> mBuckets = new HashMap<>();
    private long mSinceNanos;
    private long mCheckedNanos;
    private long mCheckedWallMillis;

    /**
     * Creates the state of a process that has just started.
     *
     * @param random spreads the returns of refused clients
     */
    public PermitIssuerState(RandomGenerator random, long nowNanos, long wallMillis) {
        mRandom = random;
        mSinceNanos = nowNanos;
        mCheckedNanos = nowNanos;
        mCheckedWallMillis = wallMillis;
    }

    /**
     * Decides on a permit.
     *
     * @param limit limit of the organisation in the newest configuration known
     * @param rateFactor part of the rate that this host issues, from {@link IssuerReach}
     * @param rank position of this host in the order of the organisation's issuers, from 1
     * @param handover whether this host issues for another one that has just become the first
     */
    public synchronized IssueResult issue(
            IssueRequest request,
            RequestLimit limit,
            double rateFactor,
            int rank,
            boolean handover,
            long nowNanos,
            long wallMillis) {
        checkFreeze(nowNanos, wallMillis);
        OrganisationBucket bucket = bucketOf(request.organisation(), limit, rank, nowNanos);
        return bucket.issue(request, limit, rateFactor, handover ? bucket.rank() : rank, nowNanos);
    }

    /**
     * Returns whether this host issues permits itself. While a new host becomes known, the previous
     * issuer continues and the new one forwards to it, because hosts that do not know the new one
     * yet ask the previous one.
     */
    public synchronized boolean isIssuer(String organisation, int rank, long nowNanos) {
        OrganisationBucket bucket = mBuckets.get(organisation);
        boolean issuedAsFirst = bucket != null && bucket.rank() == 1;
        boolean handover = nowNanos - mSinceNanos < HANDOVER_NANOS;
        return rank == 1 ? issuedAsFirst || !handover : issuedAsFirst && handover;
    }

    /** Records that another host issued a permit to which this one forwarded the request. */
    public synchronized void recordIssuedElsewhere(
            String organisation, RequestLimit limit, long nowNanos) {
        bucketOf(organisation, limit, 2, nowNanos).recordIssuedElsewhere(nowNanos);
    }

    /**
     * Records that hosts were added or removed, so that this host may now be first for
     * organisations for which another one issued permits until now.
     */
    public synchronized void recordHostChange(long nowNanos) {
        mSinceNanos = nowNanos;
    }

    /** Forgets idle organisations and detects freezes. To be called regularly. */
    public synchronized void runMaintenance(long nowNanos, long wallMillis) {
        checkFreeze(nowNanos, wallMillis);
        mBuckets.values().removeIf(bucket -> isRemovable(bucket, nowNanos));
        mBuckets.values().forEach(bucket -> bucket.sweep(nowNanos));
    }

    private static boolean isRemovable(OrganisationBucket bucket, long nowNanos) {
        return nowNanos - bucket.lastUsedNanos() > IDLE_RETENTION_NANOS && bucket.isFull(nowNanos);
    }

    // During a freeze of the process the monotonic clock stands still while the wall clock
    // advances,
    // and other hosts issue permits instead.
    private void checkFreeze(long nowNanos, long wallMillis) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mCheckedNanos);
        boolean frozen = wallMillis - mCheckedWallMillis - elapsedMillis > MAX_FREEZE_MILLIS;
        mCheckedNanos = nowNanos;
        mCheckedWallMillis = wallMillis;
        if (frozen) {
            mSinceNanos = nowNanos;
            mBuckets.values().forEach(bucket -> bucket.empty(nowNanos));
        }
    }

    private OrganisationBucket bucketOf(
            String organisation, RequestLimit limit, int rank, long nowNanos) {
        OrganisationBucket bucket = mBuckets.get(organisation);
        if (bucket == null) {
            makeRoom(nowNanos);
            bucket = new OrganisationBucket(limit, rank, mSinceNanos, mRandom, nowNanos);
            mBuckets.put(organisation, bucket);
        }
        return bucket;
    }

    private void makeRoom(long nowNanos) {
        if (mBuckets.size() < MAX_BUCKETS) {
            return;
        }
        Iterator<Map.Entry<String, OrganisationBucket>> entries = mBuckets.entrySet().iterator();
        Map.Entry<String, OrganisationBucket> oldest = entries.next();
        while (entries.hasNext()) {
            Map.Entry<String, OrganisationBucket> entry = entries.next();
            if (entry.getValue().lastUsedNanos() - oldest.getValue().lastUsedNanos() < 0) {
                oldest = entry;
            }
        }
        if (!oldest.getValue().isFull(nowNanos)) {
            // A bucket created anew for the same organisation must not be fuller than this one.
            mSinceNanos = nowNanos;
        }
        mBuckets.remove(oldest.getKey());
    }
}
