package org.oleandertrack.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class LaggingReportsTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AtomicLong mNanos = new AtomicLong();

    /** Guards against a load report that is newer or older than the configured lag. */
    @Test
    void loadIsReportedAsItWasBeforeTheLag() {
        LoadHistory load = new LoadHistory(mNanos::get, 10, 100);
        load.recordSlots(1, 0);
        mNanos.set(5 * NANOS_PER_MILLI);
        load.recordSlots(1, 2);
        load.recordCache(7);

        mNanos.set(9 * NANOS_PER_MILLI);
        assertEquals("0 0 0", describe(load.report()));
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals("1 0 0", describe(load.report()));
        mNanos.set(15 * NANOS_PER_MILLI);
        assertEquals("1 2 7", describe(load.report()));
    }

    /** Guards against events that are visible before their lag, and gaps that renumbering hides. */
    @Test
    void eventsAreDelayedAndDroppedOnesLeaveGaps() {
        CacheEventLog events = new CacheEventLog(mNanos::get, 10, 3);
        for (int i = 0; i < 4; i++) {
            events.add("stored", "o", 1);
        }

        assertEquals(List.of(), sequences(events, 0));
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals(List.of(1, 2, 4), sequences(events, 0));
        assertEquals(List.of(4), sequences(events, 2));
    }

    private static String describe(JsonNode load) {
        return load.path("running").asText()
                + " "
                + load.path("waiting").asText()
                + " "
                + load.path("cache_used_tokens").asText();
    }

    private static List<Integer> sequences(CacheEventLog events, long after) {
        return events.eventsAfter(after)
                .path("events")
                .valueStream()
                .map(event -> event.path("sequence").asInt())
                .toList();
    }
}
