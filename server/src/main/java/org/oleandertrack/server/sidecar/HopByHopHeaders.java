package org.oleandertrack.server.sidecar;

import java.util.Locale;
import java.util.Set;

/**
 * Headers that are not forwarded: hop-by-hop headers, other headers that the HTTP client sets
 * itself, and HTTP/2 pseudo-headers, whose names begin with a colon.
 */
final class HopByHopHeaders {

    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings");

    private HopByHopHeaders() {}

    static boolean isHopByHop(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return NAMES.contains(lower) || lower.startsWith(":");
    }
}
