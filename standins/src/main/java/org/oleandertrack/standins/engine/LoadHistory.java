package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.oleandertrack.standins.http.Json;

/**
 * Records samples of the load and reports the load as it was at a fixed time ago, to simulate
 * delayed load reports. Thread-safe.
 */
final class LoadHistory {

    private record Sample(long takenAtNanos, long running, long waiting, long cacheUsedTokens) {}

    private final LongSupplier mNanoClock;
    private final long mLagNanos;
    private final long mCapacityTokens;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private Sample mLatest;

    LoadHistory(LongSupplier nanoClock, long lagMillis, long capacityTokens) {
        mNanoClock = nanoClock;
        mLagNanos = lagMillis * 1_000_000;
        mCapacityTokens = capacityTokens;
        mLatest = new Sample(nanoClock.getAsLong() - mLagNanos, 0, 0, 0);
        mSamples.add(mLatest);
    }

    synchronized void recordSlots(int running, int waiting) {
        add(new Sample(mNanoClock.getAsLong(), running, waiting, mLatest.cacheUsedTokens()));
    }

    synchronized void recordCache(long usedTokens) {
        add(new Sample(mNanoClock.getAsLong(), mLatest.running(), mLatest.waiting(), usedTokens));
    }

    synchronized JsonNode report() {
        removeSamplesBeforeReported();
        Sample sample = mSamples.getFirst();
        return Json.object()
                .put("running", sample.running())
                .put("waiting", sample.waiting())
                .put("cache_used_tokens", sample.cacheUsedTokens())
                .put("cache_capacity_tokens", mCapacityTokens);
    }

    private void add(Sample sample) {
        mLatest = sample;
        mSamples.add(sample);
        removeSamplesBeforeReported();
    }

    private void removeSamplesBeforeReported() {
        long reportedAtNanos = mNanoClock.getAsLong() - mLagNanos;
        Sample reported = mSamples.getFirst();
        while (!mSamples.isEmpty() && mSamples.getFirst().takenAtNanos() - reportedAtNanos <= 0) {
            reported = mSamples.removeFirst();
        }
        mSamples.addFirst(reported);
    }
}
