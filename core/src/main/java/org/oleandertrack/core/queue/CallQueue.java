package org.oleandertrack.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.oleandertrack.core.result.ResultCode;

/**
 * The calls that wait for one target or run there.
 *
 * <p>Order: calls of organisations in credit come before those of other organisations (see {@link
 * FairShares}). Among the calls of organisations in credit, the one with the lowest rank comes
 * first, and among calls of the same rank the one that arrived first, so that of two long calls the
 * earlier one also ends first. The rank of a call is the level of its program's attained service
 * (see {@link ServiceLevels}), minus the operator's priority times the number of levels, minus one
 * for each aging time that the call has waited. Since the rank decreases without bound while a call
 * waits, no call starves.
 *
 * <p>The number of running long calls is limited: while {@link QueueConfig#maxRunningLong} long
 * calls run, no call whose program is at or above the long level starts. A call that only becomes
 * long while it runs can exceed this limit; {@link #suspend} may then select it if its target can
 * resume it.
 *
 * <p>Times are readings of one monotonic clock in nanoseconds and must not decrease from one method
 * call to the next. Not thread-safe: the owner guards each instance with its own lock.
 */
public final class CallQueue {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 60_000;
    // Weight of the newest call in the mean service time: about the last 50 calls count.
    private static final double MEAN_SERVICE_WEIGHT = 0.02;

    private static final Comparator<Entry> BY_ARRIVAL =
            Comparator.<Entry>comparingLong(entry -> entry.mSequence);
    private static final Comparator<Entry> BY_LATEST_START =
            Comparator.<Entry>comparingLong(entry -> entry.mCall.latestStartNanos())
                    .thenComparingLong(entry -> entry.mSequence);

    private final QueueConfig mConfig;
    private final FairShares mShares;
    private final Map<String, Entry> mWaiting = new HashMap<>();
    private final Map<String, Entry> mRunning = new LinkedHashMap<>();
    private final Map<String, OrganisationCalls> mOrganisations = new LinkedHashMap<>();
    private final TreeSet<Entry> mNeverStarted = new TreeSet<>(BY_LATEST_START);
    private long mNextSequence;
    private double mMeanAttainedNanos;

    /** Creates an empty queue. */
    public CallQueue(QueueConfig config, OrganisationWeights weights) {
        mConfig = config;
        mShares = new FairShares(weights, config.quantumNanos());
        mMeanAttainedNanos = config.levels().firstThresholdNanos();
    }

    // Accessors

    /** Returns the number of waiting calls. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns the number of running calls. */
    public int running() {
        return mRunning.size();
    }

    /** Returns the number of running calls whose program has reached the long level by now. */
    public int runningLong(long nowNanos) {
        int count = 0;
        for (Entry entry : mRunning.values()) {
            if (currentLevel(entry, nowNanos) >= mConfig.longLevel()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the load that is reported to entry hosts. */
    public QueueLoad load() {
        return new QueueLoad(
                mRunning.size(), mWaiting.size(), (long) (mWaiting.size() * mMeanAttainedNanos));
    }

    // Operations

    /**
     * Adds a call to the queue.
     *
     * @return {@code Rejected} with {@link ResultCode#DEADLINE_EXCEEDED}, {@link
     *     ResultCode#QUEUE_FULL} or {@link ResultCode#ORGANISATION_LIMIT_REACHED} if the call was
     *     not added
     * @throws IllegalArgumentException if a call with this id waits or runs
     */
    public OfferResult offer(QueuedCall call, long nowNanos) {
        if (mWaiting.containsKey(call.id()) || mRunning.containsKey(call.id())) {
            throw new IllegalArgumentException("call is already in the queue: " + call.id());
        }
        if (call.latestStartNanos() < nowNanos) {
            return new OfferResult.Rejected(ResultCode.DEADLINE_EXCEEDED, 0);
        }
        if (mWaiting.size() >= mConfig.maxEntries()) {
            return new OfferResult.Rejected(ResultCode.QUEUE_FULL, retryAfterMillis());
        }
        OrganisationCalls calls = mOrganisations.get(call.organisation());
        if (calls != null && calls.mCount >= mConfig.maxEntriesPerOrganisation()) {
            return new OfferResult.Rejected(
                    ResultCode.ORGANISATION_LIMIT_REACHED, retryAfterMillis());
        }
        Entry entry = new Entry(call, mNextSequence++);
        entry.mAttainedNanos = call.attainedNanos();
        mNeverStarted.add(entry);
        enqueue(entry, nowNanos);
        return new OfferResult.Accepted();
    }

    /**
     * Starts the next call that may start, if the target has a free slot. The caller reports the
     * end of the call with {@link #finish}. A suspended call is returned again when it is next in
     * the order, and the target then resumes it. A call that has never started is not returned once
     * its latest start has passed.
     */
    public Optional<QueuedCall> poll(long nowNanos) {
        if (mRunning.size() >= mConfig.maxRunning()) {
            return Optional.empty();
        }
        boolean longAllowed = runningLong(nowNanos) < mConfig.maxRunningLong();
        Entry entry = selectNext(nowNanos, longAllowed);
        if (entry == null) {
            return Optional.empty();
        }
        dequeue(entry);
        mNeverStarted.remove(entry);
        entry.mAgingLevels = agedLevels(entry, nowNanos);
        entry.mStartedNanos = nowNanos;
        entry.mChargedNanos = (long) mMeanAttainedNanos;
        mShares.charge(entry.mCall.organisation(), entry.mChargedNanos);
        mRunning.put(entry.mCall.id(), entry);
        return Optional.of(entry.mCall);
    }

    /**
     * Suspends a running call and puts it back into the queue, so that a waiting call of a lower
     * rank can start. Among the running calls that can be resumed and have run for at least one
     * time slice, the one with the highest rank is selected. The caller then has the target stop
     * the returned call; a later {@link #poll} returns it again.
     *
     * <p>The owner calls this method after each offer. It also calls it regularly, about once per
     * {@link ServiceLevels#firstThresholdNanos}, because the level of a running call rises with
     * time, without a call of any method.
     *
     * @return the suspended call; empty if the target has a free slot, if no call of a lower rank
     *     has waited for a time slice or if no running call can be suspended
     */
    public Optional<QueuedCall> suspend(long nowNanos) {
        if (mRunning.size() < mConfig.maxRunning() || mWaiting.isEmpty()) {
            return Optional.empty();
        }
        Entry victim = null;
        for (Entry entry : mRunning.values()) {
            if (isSuspendable(entry, nowNanos)
                    && (victim == null || isBetterVictim(entry, victim, nowNanos))) {
                victim = entry;
            }
        }
        if (victim == null || !hasLowerRankWaiting(victim, nowNanos)) {
            return Optional.empty();
        }
        mRunning.remove(victim.mCall.id());
        long runNanos = nowNanos - victim.mStartedNanos;
        mShares.charge(victim.mCall.organisation(), runNanos - victim.mChargedNanos);
        victim.mAttainedNanos += runNanos;
        enqueue(victim, nowNanos);
        return Optional.of(victim.mCall);
    }

    /**
     * Ends a running call.
     *
     * @param id id of the call
     * @param attainedNanos service time that the call attained since it was last started, in
     *     nanoseconds
     * @throws IllegalArgumentException if no such call runs
     */
    public void finish(String id, long attainedNanos, long nowNanos) {
        Entry entry = mRunning.remove(id);
        if (entry == null) {
            throw new IllegalArgumentException("no such call runs: " + id);
        }
        long totalNanos = entry.mAttainedNanos - entry.mCall.attainedNanos() + attainedNanos;
        mMeanAttainedNanos += MEAN_SERVICE_WEIGHT * (totalNanos - mMeanAttainedNanos);
        mShares.charge(entry.mCall.organisation(), attainedNanos - entry.mChargedNanos);
    }

    /** Removes a waiting call, for instance because its caller disconnected. */
    public Optional<QueuedCall> remove(String id) {
        Entry entry = mWaiting.get(id);
        if (entry == null) {
            return Optional.empty();
        }
        dequeue(entry);
        mNeverStarted.remove(entry);
        return Optional.of(entry.mCall);
    }

    /**
     * Removes and returns the calls whose latest start has passed. None of them has run, so they
     * end as not run with {@link ResultCode#DEADLINE_EXCEEDED}. Suspended calls are not included
     * because they have already started.
     */
    public List<QueuedCall> takeExpired(long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>();
        while (!mNeverStarted.isEmpty()
                && mNeverStarted.first().mCall.latestStartNanos() < nowNanos) {
            Entry entry = mNeverStarted.removeFirst();
            dequeue(entry);
            expired.add(entry.mCall);
        }
        return expired;
    }

    // Helpers

    private void enqueue(Entry entry, long nowNanos) {
        entry.mWaitingSinceNanos = nowNanos;
        entry.mLevel = mConfig.levels().levelOf(entry.mAttainedNanos);
        mWaiting.put(entry.mCall.id(), entry);
        mOrganisations
                .computeIfAbsent(entry.mCall.organisation(), name -> new OrganisationCalls())
                .add(entry);
    }

    private void dequeue(Entry entry) {
        mWaiting.remove(entry.mCall.id());
        OrganisationCalls calls = mOrganisations.get(entry.mCall.organisation());
        calls.remove(entry);
        if (calls.mCount == 0) {
            mOrganisations.remove(entry.mCall.organisation());
        }
    }

    private Entry selectNext(long nowNanos, boolean longAllowed) {
        Entry best = null;
        List<String> indebted = new ArrayList<>();
        Map<String, Entry> candidates = new LinkedHashMap<>();
        for (Map.Entry<String, OrganisationCalls> organisation : mOrganisations.entrySet()) {
            Entry candidate = bestCandidate(organisation.getValue(), nowNanos, longAllowed);
            if (candidate == null) {
                continue;
            }
            if (mShares.isInCredit(organisation.getKey())) {
                best = lowerRanked(best, candidate, nowNanos);
            } else {
                indebted.add(organisation.getKey());
                candidates.put(organisation.getKey(), candidate);
            }
        }
        if (best != null || indebted.isEmpty()) {
            return best;
        }
        mShares.advanceRoundsFor(indebted);
        for (Map.Entry<String, Entry> candidate : candidates.entrySet()) {
            if (mShares.isInCredit(candidate.getKey())) {
                best = lowerRanked(best, candidate.getValue(), nowNanos);
            }
        }
        return best;
    }

    private Entry bestCandidate(OrganisationCalls calls, long nowNanos, boolean longAllowed) {
        Entry best = null;
        for (Map.Entry<BucketKey, TreeSet<Entry>> bucket : calls.mBuckets.entrySet()) {
            if (!longAllowed && bucket.getKey().level() >= mConfig.longLevel()) {
                continue;
            }
            for (Entry entry : bucket.getValue()) {
                if (entry.mayStart(nowNanos)) {
                    best = lowerRanked(best, entry, nowNanos);
                    break;
                }
            }
        }
        return best;
    }

    private Entry lowerRanked(Entry best, Entry candidate, long nowNanos) {
        if (best == null) {
            return candidate;
        }
        long difference = waitingRank(candidate, nowNanos) - waitingRank(best, nowNanos);
        boolean isLower =
                difference < 0 || (difference == 0 && BY_ARRIVAL.compare(candidate, best) < 0);
        return isLower ? candidate : best;
    }

    private boolean isSuspendable(Entry entry, long nowNanos) {
        return entry.mCall.resumable() && nowNanos - entry.mStartedNanos >= mConfig.sliceNanos();
    }

    // Of running calls with the same rank, the one with the least attained service is suspended, so
    // that the calls that are probably closest to their end keep running.
    private boolean isBetterVictim(Entry entry, Entry victim, long nowNanos) {
        long rank = runningRank(entry, nowNanos);
        long victimRank = runningRank(victim, nowNanos);
        return rank > victimRank
                || (rank == victimRank
                        && currentAttainedNanos(entry, nowNanos)
                                < currentAttainedNanos(victim, nowNanos));
    }

    // Aging of the waiting call is ignored, because otherwise two long calls would alternately
    // suspend each other. An aged call starts when a slot becomes free.
    private boolean hasLowerRankWaiting(Entry victim, long nowNanos) {
        int longVictims = currentLevel(victim, nowNanos) >= mConfig.longLevel() ? 1 : 0;
        boolean longAllowed = runningLong(nowNanos) - longVictims < mConfig.maxRunningLong();
        Entry entry = selectNext(nowNanos, longAllowed);
        return entry != null
                && nowNanos - entry.mWaitingSinceNanos >= mConfig.sliceNanos()
                && baseRank(entry.mCall, entry.mLevel) < runningRank(victim, nowNanos);
    }

    private long waitingRank(Entry entry, long nowNanos) {
        return baseRank(entry.mCall, entry.mLevel) - agedLevels(entry, nowNanos);
    }

    // A running call keeps the levels that it gained by waiting. Otherwise a call that had aged
    // past short calls would be suspended again after one time slice and would hardly make progress
    // under a continuous load of short calls.
    private long runningRank(Entry entry, long nowNanos) {
        return baseRank(entry.mCall, currentLevel(entry, nowNanos)) - entry.mAgingLevels;
    }

    private long baseRank(QueuedCall call, int level) {
        return level - (long) call.priority() * mConfig.levels().count();
    }

    private long agedLevels(Entry entry, long nowNanos) {
        return (nowNanos - entry.mWaitingSinceNanos) / mConfig.agingNanos();
    }

    private int currentLevel(Entry entry, long nowNanos) {
        return mConfig.levels().levelOf(currentAttainedNanos(entry, nowNanos));
    }

    private long currentAttainedNanos(Entry entry, long nowNanos) {
        return entry.mAttainedNanos + nowNanos - entry.mStartedNanos;
    }

    private long retryAfterMillis() {
        double drainNanos = mWaiting.size() * mMeanAttainedNanos / mConfig.maxRunning();
        long millis = (long) (drainNanos / NANOS_PER_MILLI);
        return Math.clamp(millis, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    }

    private static final class Entry {
        private static final long NEVER = Long.MIN_VALUE;

        private final QueuedCall mCall;
        private final long mSequence;
        private long mAttainedNanos;
        private int mLevel;
        private long mWaitingSinceNanos;
        private long mStartedNanos = NEVER;
        // Levels gained by waiting before the last start.
        private long mAgingLevels;
        // Service time charged to the organisation at the last start, corrected at the end.
        private long mChargedNanos;

        private Entry(QueuedCall call, long sequence) {
            mCall = call;
            mSequence = sequence;
        }

        private boolean mayStart(long nowNanos) {
            return mStartedNanos != NEVER || mCall.latestStartNanos() >= nowNanos;
        }
    }

    /** The waiting calls of one organisation, in buckets of the same priority and level. */
    private static final class OrganisationCalls {
        private final Map<BucketKey, TreeSet<Entry>> mBuckets = new HashMap<>();
        private int mCount;

        private void add(Entry entry) {
            mBuckets.computeIfAbsent(keyOf(entry), key -> new TreeSet<>(BY_ARRIVAL)).add(entry);
            mCount++;
        }

        private void remove(Entry entry) {
            TreeSet<Entry> bucket = mBuckets.get(keyOf(entry));
            bucket.remove(entry);
            if (bucket.isEmpty()) {
                mBuckets.remove(keyOf(entry));
            }
            mCount--;
        }

        private static BucketKey keyOf(Entry entry) {
            return new BucketKey(entry.mCall.priority(), entry.mLevel);
        }
    }

    private record BucketKey(int priority, int level) {}
}
