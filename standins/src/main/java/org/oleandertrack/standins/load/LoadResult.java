package org.oleandertrack.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.oleandertrack.standins.http.Json;

/** Measurements of a run of the load client. Thread-safe. */
public final class LoadResult {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final boolean mStream;
    private final Histogram mLatencyMicros = newHistogram();
    private final Histogram mFirstBodyByteMicros = newHistogram();
    private final LongAdder mBodyReads = new LongAdder();
    private final LongAdder mBodyBytes = new LongAdder();
    private final Map<String, LongAdder> mErrors = new ConcurrentSkipListMap<>();
    private volatile long mElapsedNanos;

    LoadResult(boolean stream) {
        mStream = stream;
    }

    // Accessors

    /** Returns the number of calls with a complete response and a status below 400. */
    public long completedCalls() {
        return mLatencyMicros.getTotalCount();
    }

    public long errorCount() {
        return mErrors.values().stream().mapToLong(LongAdder::sum).sum();
    }

    public long bodyReads() {
        return mBodyReads.sum();
    }

    /** Returns the measurements as a JSON object; latencies cover the calls without error. */
    public JsonNode toJson() {
        double seconds = mElapsedNanos / NANOS_PER_SECOND;
        ObjectNode node = Json.object();
        node.put("count", completedCalls());
        node.put("errors", errorCount());
        node.put("seconds", seconds);
        node.put("callsPerSecond", seconds > 0 ? (double) completedCalls() / seconds : 0);
        node.put("p50Micros", mLatencyMicros.getValueAtPercentile(50));
        node.put("p99Micros", mLatencyMicros.getValueAtPercentile(99));
        node.put("maxMicros", mLatencyMicros.getMaxValue());
        if (mStream) {
            node.put("firstByteP50Micros", mFirstBodyByteMicros.getValueAtPercentile(50));
            node.put("firstByteP99Micros", mFirstBodyByteMicros.getValueAtPercentile(99));
            node.put("chunkArrivals", bodyReads());
        }
        node.put("bodyBytes", mBodyBytes.sum());
        ObjectNode kinds = node.putObject("errorKinds");
        mErrors.forEach((kind, count) -> kinds.put(kind, count.sum()));
        return node;
    }

    // Operations

    void addResponse(ResponseReader.Response response, long startNanos, long endNanos) {
        mLatencyMicros.recordValue(toMicros(endNanos - startNanos));
        mBodyBytes.add(response.bodyBytes());
        if (response.bodyBytes() > 0) {
            mFirstBodyByteMicros.recordValue(toMicros(response.firstBodyByteNanos() - startNanos));
        }
        mBodyReads.add(response.bodyReads());
    }

    void addError(String kind) {
        mErrors.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    void setElapsedNanos(long nanos) {
        mElapsedNanos = nanos;
    }

    // Helpers

    private static Histogram newHistogram() {
        long largestMicros = TimeUnit.SECONDS.toMicros(2 * LoadOptions.LARGEST_MAX_SECONDS);
        return new ConcurrentHistogram(largestMicros, SIGNIFICANT_DIGITS);
    }

    private static long toMicros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }
}
