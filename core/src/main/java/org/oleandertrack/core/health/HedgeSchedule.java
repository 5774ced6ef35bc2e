package org.oleandertrack.core.health;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides when late requests of a process are sent to a second target, and limits their number. A
 * send is late when it has taken longer than the 95th percentile of the recent sends of its route,
 * corrected by what was predicted for it.
 *
 * <p>The number of hedged requests is at most the given percentage of the repeatable requests, over
 * the life of the process; in each period of any length it exceeds the percentage of the requests
 * of the period by at most {@link #MAX_SAVED_HEDGES}.
 *
 * <p>Thread-safe.
 */
public final class HedgeSchedule {

    /** Largest percentage of hedged requests that can be set. */
    public static final int MAX_PER_HUNDRED = 20;

    /** Number of unused hedged requests that are saved for a later period. */
    public static final int MAX_SAVED_HEDGES = 3;

    // The times of a route take about 4 KB.
    private static final int MAX_ROUTES = 128;
    private static final double HUNDRED = 100;
    private static final long MIN_RECHECK_NANOS = 1_000_000;

    private final ExtraCallAllowance mAllowance;
    private final Map<String, LatenessQuantile> mRoutes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, LatenessQuantile> eldest) {
                    return size() > MAX_ROUTES;
                }
            };
    private long mRequestCount;
    private long mHedgeCount;

    /**
     * Creates a schedule that has not seen any requests.
     *
     * @param perHundred hedged requests allowed per hundred repeatable requests
     */
    public HedgeSchedule(int perHundred) {
        mAllowance = new ExtraCallAllowance(perHundred, MAX_SAVED_HEDGES);
    }

    // Accessors

    /**
     * Returns the time from a send until it is late, in nanoseconds; empty until enough sends of
     * the route have been recorded.
     */
    public synchronized OptionalLong delayNanos(String route, SendPrediction prediction) {
        LatenessQuantile times = mRoutes.get(route);
        OptionalLong quantileNanos = times == null ? OptionalLong.empty() : times.nanos();
        return quantileNanos.isPresent()
                ? OptionalLong.of(
                        Math.max(0, prediction.nanosWithLateness(quantileNanos.getAsLong())))
                : OptionalLong.empty();
    }

    /**
     * Returns how much longer to wait for a late send before a second one, in nanoseconds; 0 or
     * less if it may be sent now. The second send has to repeat what the first one has done, so it
     * is worth its work only if the first one is late by more than that takes.
     *
     * @param elapsedNanos time since the first send, in nanoseconds
     */
    public long waitNanos(SendPrediction first, SendPrediction second, long elapsedNanos) {
        return second.expectedNanos() - (elapsedNanos - first.expectedNanos());
    }

    /**
     * Returns after which time a late request that the limit denied a second send is checked again,
     * in nanoseconds. Otherwise the limit would favour requests that have just become late, most of
     * which are answered soon, over those that are late by far.
     *
     * @param delayNanos time from its send until it was late, in nanoseconds
     */
    public static long recheckNanos(long delayNanos) {
        return Math.max(MIN_RECHECK_NANOS, delayNanos / 2);
    }

    /** Returns the number of hedged requests per hundred repeatable requests so far. */
    public synchronized double extraPercent() {
        return mRequestCount == 0 ? 0 : mHedgeCount * HUNDRED / mRequestCount;
    }

    // Operations

    /** Counts a repeatable request of a caller, before it is sent for the first time. */
    public synchronized void recordRequest() {
        mRequestCount++;
        mAllowance.recordCall();
    }

    /**
     * Records the time of a first send until its response began. For one that was cancelled because
     * a second send was faster, the time until then: it is above the quantile in any case, and
     * without it the quantile would fall with each hedged request.
     */
    public synchronized void recordTime(String route, SendPrediction prediction, long actualNanos) {
        mRoutes.computeIfAbsent(route, name -> new LatenessQuantile())
                .record(prediction.latenessNanos(actualNanos));
    }

    /** Returns whether a second send is available within the limit. */
    public synchronized boolean isAvailable() {
        return mAllowance.isAvailable();
    }

    /** Counts a second send before it is made; returns false if the limit is reached. */
    public synchronized boolean tryTake() {
        if (!mAllowance.tryTake()) {
            return false;
        }
        mHedgeCount++;
        return true;
    }
}
