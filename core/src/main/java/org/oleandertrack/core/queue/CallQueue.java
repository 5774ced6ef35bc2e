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
 * The calls that wait for one target and the ones that run there.
 *
 * <p>Order: organisations in credit come before the others (see {@link FairShares}); among their
 * calls the lowest rank comes first, and within a rank the one that arrived first, so that of two
 * long calls the one begun first ends first. The rank is the level of the program's attained
 * service, less the number of levels for each step of operator priority, less one for each aging
 * time that the call has waited. As the rank falls without bound while a call waits, no call waits
 * for ever behind later ones.
 *
 * <p>Long calls are bounded: no call whose program is at or above the long level starts while the
 * bound of long calls run. A call whose length shows only while it runs can exceed the bound;
 * {@link #suspend} then names it if its target can resume it.
 *
 * <p>Times are readings of one monotonic clock in nanoseconds and must not go back between calls.
 * Not thread-safe: the owner guards each instance with its own lock.
 */
public final class CallQueue {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 60_000;
    // Weight of the newest call in the mean: about the last 50 calls count.
    private static final double MEAN_WEIGHT = 0.02;

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
    private final TreeSet<Entry> mNotStarted = new TreeSet<>(BY_LATEST_START);
    private long mSequence;
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

    /** Returns the number of running calls that are long by now. */
    public int runningLong(long nowNanos) {
        int count = 0;
        for (Entry entry : mRunning.values()) {
            if (levelNow(entry, nowNanos) >= mConfig.longLevel()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the load for the report to entry hosts. */
    public QueueLoad load() {
        return new QueueLoad(
                mRunning.size(), mWaiting.size(), (long) (mWaiting.size() * mMeanAttainedNanos));
    }

    // Operations

    /**
     * Takes a call into the queue.
     *
     * @return {@code Rejected} with {@link ResultCode#DEADLINE_EXCEEDED}, {@link
     *     ResultCode#QUEUE_FULL} or {@link ResultCode#ORGANISATION_LIMIT_REACHED} if the call was
     *     not taken
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
        Entry entry = new Entry(call, mSequence++);
        entry.mAttainedNanos = call.attainedNanos();
        mNotStarted.add(entry);
        enqueue(entry, nowNanos);
        return new OfferResult.Accepted();
    }

    /**
     * Starts the next call, if the target has room for one that may start. The caller reports its
     * end with {@link #finished}. A call that was suspended is returned again when it is its turn;
     * the target then resumes it. Calls past their latest start are never returned.
     */
    public Optional<QueuedCall> poll(long nowNanos) {
        if (mRunning.size() >= mConfig.maxRunning()) {
            return Optional.empty();
        }
        boolean longAllowed = runningLong(nowNanos) < mConfig.maxRunningLong();
        Entry entry = select(nowNanos, longAllowed);
        if (entry == null) {
            return Optional.empty();
        }
        dequeue(entry);
        mNotStarted.remove(entry);
        entry.mGainedLevels = agedLevels(entry, nowNanos);
        entry.mStartedNanos = nowNanos;
        entry.mChargedNanos = (long) mMeanAttainedNanos;
        mShares.charge(entry.mCall.organisation(), entry.mChargedNanos);
        mRunning.put(entry.mCall.id(), entry);
        return Optional.of(entry.mCall);
    }

    /**
     * Takes a running call back into the queue so that a call of a lower rank can start: the one of
     * the highest rank among those that can be resumed and have run for the least slice. Returns
     * it, and the caller has the target stop it; a later {@link #poll} returns it again. Empty when
     * the target has room, when nothing of a lower rank waits or when no running call qualifies.
     * The owner calls this after each offer and about as often as the first level threshold,
     * because a running call changes its level without an event.
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
        if (victim == null || !lowerRankWaits(victim, nowNanos)) {
            return Optional.empty();
        }
        mRunning.remove(victim.mCall.id());
        long ranNanos = nowNanos - victim.mStartedNanos;
        mShares.charge(victim.mCall.organisation(), ranNanos - victim.mChargedNanos);
        victim.mAttainedNanos += ranNanos;
        enqueue(victim, nowNanos);
        return Optional.of(victim.mCall);
    }

    /**
     * Ends a running call.
     *
     * @param id id of the call
     * @param attainedNanos service that the call attained since it last started, in nanoseconds
     * @throws IllegalArgumentException if no such call runs
     */
    public void finished(String id, long attainedNanos, long nowNanos) {
        Entry entry = mRunning.remove(id);
        if (entry == null) {
            throw new IllegalArgumentException("no such call runs: " + id);
        }
        long wholeNanos = entry.mAttainedNanos - entry.mCall.attainedNanos() + attainedNanos;
        mMeanAttainedNanos += MEAN_WEIGHT * (wholeNanos - mMeanAttainedNanos);
        mShares.charge(entry.mCall.organisation(), attainedNanos - entry.mChargedNanos);
    }

    /** Takes a waiting call out of the queue, for instance because its caller left. */
    public Optional<QueuedCall> remove(String id) {
        Entry entry = mWaiting.get(id);
        if (entry == null) {
            return Optional.empty();
        }
        dequeue(entry);
        mNotStarted.remove(entry);
        return Optional.of(entry.mCall);
    }

    /**
     * Takes out and returns the calls whose latest start has passed. None of them has run, and they
     * end as not run with {@link ResultCode#DEADLINE_EXCEEDED}. A suspended call is not among them,
     * because it has started.
     */
    public List<QueuedCall> takeExpired(long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>();
        while (!mNotStarted.isEmpty() && mNotStarted.first().mCall.latestStartNanos() < nowNanos) {
            Entry entry = mNotStarted.removeFirst();
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

    private Entry select(long nowNanos, boolean longAllowed) {
        Entry best = null;
        List<String> indebted = new ArrayList<>();
        Map<String, Entry> candidates = new LinkedHashMap<>();
        for (Map.Entry<String, OrganisationCalls> organisation : mOrganisations.entrySet()) {
            Entry candidate = best(organisation.getValue(), nowNanos, longAllowed);
            if (candidate == null) {
                continue;
            }
            if (mShares.inCredit(organisation.getKey())) {
                best = lower(best, candidate, nowNanos);
            } else {
                indebted.add(organisation.getKey());
                candidates.put(organisation.getKey(), candidate);
            }
        }
        if (best != null || indebted.isEmpty()) {
            return best;
        }
        mShares.advanceFor(indebted);
        for (Map.Entry<String, Entry> candidate : candidates.entrySet()) {
            if (mShares.inCredit(candidate.getKey())) {
                best = lower(best, candidate.getValue(), nowNanos);
            }
        }
        return best;
    }

    private Entry best(OrganisationCalls calls, long nowNanos, boolean longAllowed) {
        Entry best = null;
        for (Map.Entry<BucketKey, TreeSet<Entry>> bucket : calls.mBuckets.entrySet()) {
            if (!longAllowed && bucket.getKey().level() >= mConfig.longLevel()) {
                continue;
            }
            for (Entry entry : bucket.getValue()) {
                if (entry.mayStart(nowNanos)) {
                    best = lower(best, entry, nowNanos);
                    break;
                }
            }
        }
        return best;
    }

    private Entry lower(Entry best, Entry candidate, long nowNanos) {
        if (best == null) {
            return candidate;
        }
        long difference = waitingRank(candidate, nowNanos) - waitingRank(best, nowNanos);
        boolean lower =
                difference < 0 || (difference == 0 && BY_ARRIVAL.compare(candidate, best) < 0);
        return lower ? candidate : best;
    }

    private boolean isSuspendable(Entry entry, long nowNanos) {
        return entry.mCall.resumable() && nowNanos - entry.mStartedNanos >= mConfig.minSliceNanos();
    }

    // Among running calls of the same rank the one with the least service is stopped, so that the
    // ones closest to their end keep running.
    private boolean isBetterVictim(Entry entry, Entry victim, long nowNanos) {
        long rank = runningRank(entry, nowNanos);
        long victimRank = runningRank(victim, nowNanos);
        return rank > victimRank
                || (rank == victimRank
                        && attainedNow(entry, nowNanos) < attainedNow(victim, nowNanos));
    }

    // Compares without aging: aged calls take the slots that become free, and two long calls do not
    // keep displacing each other.
    private boolean lowerRankWaits(Entry victim, long nowNanos) {
        int victimLong = levelNow(victim, nowNanos) >= mConfig.longLevel() ? 1 : 0;
        boolean longAllowed = runningLong(nowNanos) - victimLong < mConfig.maxRunningLong();
        Entry entry = select(nowNanos, longAllowed);
        return entry != null && baseRank(entry.mCall, entry.mLevel) < runningRank(victim, nowNanos);
    }

    private long waitingRank(Entry entry, long nowNanos) {
        return baseRank(entry.mCall, entry.mLevel) - agedLevels(entry, nowNanos);
    }

    // A running call keeps the levels that it gained by waiting. Otherwise a call that had aged
    // past
    // the short ones would be suspended again after its least slice, and under a lasting flood of
    // short calls it would hardly advance.
    private long runningRank(Entry entry, long nowNanos) {
        return baseRank(entry.mCall, levelNow(entry, nowNanos)) - entry.mGainedLevels;
    }

    private long baseRank(QueuedCall call, int level) {
        return level - (long) call.priority() * mConfig.levels().count();
    }

    private long agedLevels(Entry entry, long nowNanos) {
        return (nowNanos - entry.mWaitingSinceNanos) / mConfig.agingNanos();
    }

    private int levelNow(Entry entry, long nowNanos) {
        return mConfig.levels().levelOf(attainedNow(entry, nowNanos));
    }

    private long attainedNow(Entry entry, long nowNanos) {
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
        private long mGainedLevels;
        private long mChargedNanos;

        private Entry(QueuedCall call, long sequence) {
            mCall = call;
            mSequence = sequence;
        }

        private boolean mayStart(long nowNanos) {
            return mStartedNanos != NEVER || mCall.latestStartNanos() >= nowNanos;
        }
    }

    /** The waiting calls of one organisation; the calls of a bucket differ only in waiting time. */
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
