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

    /** Guards against a change that is visible before its lag is over. */
    @Test
    void changeIsVisibleAfterItsLag() {
        mHosts.replace(list("second"), 10);

        mNanos.set(10 * NANOS_PER_MILLI - 1);
        assertEquals(list("first"), mHosts.visible());
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals(list("second"), mHosts.visible());
    }

    /** Guards against an old list that comes back because its lag ends later. */
    @Test
    void laterChangeIsNeverReplacedByAnEarlierOne() {
        mHosts.replace(list("second"), 10);
        mHosts.replace(list("third"), 0);

        assertEquals(list("first"), mHosts.visible());
        mNanos.set(10 * NANOS_PER_MILLI);
        assertEquals(list("third"), mHosts.visible());
        mNanos.set(20 * NANOS_PER_MILLI);
        assertEquals(list("third"), mHosts.visible());
    }

    private static JsonNode list(String hostId) {
        return Json.array().add(hostId);
    }
}
