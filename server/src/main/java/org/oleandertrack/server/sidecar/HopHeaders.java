package org.oleandertrack.server.sidecar;

import java.util.Locale;
import java.util.Set;

/** Headers that belong to one HTTP connection and are not passed on. */
final class HopHeaders {

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

    private HopHeaders() {}

    static boolean isHopHeader(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return NAMES.contains(lower) || lower.startsWith(":");
    }
}
