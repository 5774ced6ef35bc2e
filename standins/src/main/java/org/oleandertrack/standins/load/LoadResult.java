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

/** What a run of the load client measured. Thread-safe. */
public final class LoadResult {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final boolean mStream;
    private final Histogram mLatencyMicros = histogram();
    private final Histogram mFirstByteMicros = histogram();
    private final LongAdder mChunkArrivals = new LongAdder();
    private final LongAdder mBodyBytes = new LongAdder();
    private final Map<String, LongAdder> mErrors = new ConcurrentSkipListMap<>();
    private volatile long mElapsedNanos;

    LoadResult(boolean stream) {
        mStream = stream;
    }

    // Accessors

    /** Returns the number of calls that got a complete answer with a status below 400. */
    public long count() {
        return mLatencyMicros.getTotalCount();
    }

    public long errors() {
        return mErrors.values().stream().mapToLong(LongAdder::sum).sum();
    }

    public long chunkArrivals() {
        return mChunkArrivals.sum();
    }

    /** Returns the measures as one JSON object; latencies are those of calls without error. */
    public JsonNode toJson() {
        double seconds = mElapsedNanos / NANOS_PER_SECOND;
        ObjectNode node = Json.object();
        node.put("count", count());
        node.put("errors", errors());
        node.put("seconds", seconds);
        node.put("callsPerSecond", seconds > 0 ? (double) count() / seconds : 0);
        node.put("p50Micros", mLatencyMicros.getValueAtPercentile(50));
        node.put("p99Micros", mLatencyMicros.getValueAtPercentile(99));
        node.put("maxMicros", mLatencyMicros.getMaxValue());
        if (mStream) {
            node.put("firstByteP50Micros", mFirstByteMicros.getValueAtPercentile(50));
            node.put("firstByteP99Micros", mFirstByteMicros.getValueAtPercentile(99));
            node.put("chunkArrivals", chunkArrivals());
        }
        node.put("bodyBytes", mBodyBytes.sum());
        ObjectNode kinds = node.putObject("errorKinds");
        mErrors.forEach((kind, count) -> kinds.put(kind, count.sum()));
        return node;
    }

    // Operations

    void addAnswer(AnswerReader.Answer answer, long startNanos, long endNanos) {
        mLatencyMicros.recordValue(micros(endNanos - startNanos));
        mBodyBytes.add(answer.bodyBytes());
        if (answer.bodyBytes() > 0) {
            mFirstByteMicros.recordValue(micros(answer.firstByteNanos() - startNanos));
        }
        mChunkArrivals.add(answer.bodyArrivals());
    }

    void addError(String kind) {
        mErrors.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    void setElapsed(long nanos) {
        mElapsedNanos = nanos;
    }

    // Helpers

    private static Histogram histogram() {
        long largestMicros = TimeUnit.SECONDS.toMicros(2 * LoadOptions.LARGEST_MAX_SECONDS);
        return new ConcurrentHistogram(largestMicros, SIGNIFICANT_DIGITS);
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }
}
