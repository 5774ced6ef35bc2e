package org.oleandertrack.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.http.Json;

class HostRegistryTest {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AtomicLong mNanos = new AtomicLong();
    private final HostRegistry mHosts = new HostRegistry(mNanos::get, list("first"));

    /** Guards against a change that is visible before its lag has passed. */
    @Test
    void changeIsVisibleAfterItsLag() {
        mHosts.replaceHosts(list("second"), 10);

        mNanos.set(10 * NANOS_PER_MILLI - 1);
        assertEquals(list("first"), mHosts.visibleHosts());
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals(list("second"), mHosts.visibleHosts());
    }

    /** Guards against an earlier change with a longer lag that replaces a later change. */
    @Test
    void laterChangeIsNeverReplacedByAnEarlierOne() {
        mHosts.replaceHosts(list("second"), 10);
        mHosts.replaceHosts(list("third"), 0);

        assertEquals(list("first"), mHosts.visibleHosts());
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals(list("third"), mHosts.visibleHosts());
        mNanos.set(20 * NANOS_PER_MILLI);
        assertEquals(list("third"), mHosts.visibleHosts());
    }

    private static JsonNode list(String hostId) {
        return Json.array().add(hostId);
    }
}
