package org.oleandertrack.core.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent to a service for which they are not configured. */
final class RouteTableTest {

    private static Route route(String name, String host, String prefix, RouteShare... shares) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.SAFE,
                1_000,
                100,
                0,
                1,
                false,
                0,
                false,
                0,
                false,
                List.of(shares));
    }

    private static Optional<String> find(RouteTable table, String host, String target) {
        return table.find(host, target).map(Route::name);
    }

    @Test
    void theLongestPrefixWins() {
        RouteTable table =
                new RouteTable(List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/")));
        assertEquals(Optional.of("long"), find(table, "h", "/a/b/c"));
        assertEquals(Optional.of("short"), find(table, "h", "/a/c"));
    }

    @Test
    void aPrefixEndsAtASlash() {
        RouteTable table = new RouteTable(List.of(route("r", "h", "/a/")));
        assertEquals(Optional.empty(), find(table, "h", "/ab"));
        assertEquals(Optional.empty(), find(table, "h", "/a"));
    }

    @Test
    void aPathInTheQueryMatchesNothing() {
        RouteTable table = new RouteTable(List.of(route("r", "h", "/a/")));
        assertEquals(Optional.empty(), find(table, "h", "/x?y=/a/"));
        assertEquals(Optional.of("r"), find(table, "h", "/a/?y=/x/"));
    }

    @Test
    void hostsDifferByNameOnly() {
        RouteTable table = new RouteTable(List.of(route("r", "Host.example", "/a/")));
        assertEquals(Optional.of("r"), find(table, "host.EXAMPLE:8080", "/a/x"));
        assertEquals(Optional.empty(), find(table, "other.example", "/a/x"));
    }

    @Test
    void sharesFollowTheirWeightsAndAKeyStaysWithItsService() {
        Route split =
                route("r", "h", "/a/", new RouteShare("big", 90), new RouteShare("small", 10));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            String service = split.serviceFor("key-" + i);
            assertEquals(service, split.serviceFor("key-" + i));
            counts.merge(service, 1, Integer::sum);
        }
        assertTrue(Math.abs(counts.get("small") - 1_000) < 200, counts.toString());
    }
}
