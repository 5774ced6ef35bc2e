package org.oleandertrack.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Parses the {@code Keep-Alive} header. */
final class KeepAliveHeader {

    private static final String NAME = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";

    private KeepAliveHeader() {}

    /** Returns the announced timeout of an idle connection; empty if it is absent or malformed. */
    static Optional<Long> timeoutMillis(HttpHeaders headers) {
        String value = headers.get(NAME);
        if (value == null) {
            return Optional.empty();
        }
        for (String parameter : value.split(",", -1)) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith(TIMEOUT)) {
                return parseSeconds(trimmed.substring(TIMEOUT.length()));
            }
        }
        return Optional.empty();
    }

    private static Optional<Long> parseSeconds(String text) {
        try {
            return Optional.of(TimeUnit.SECONDS.toMillis(Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            // A malformed timeout is treated as absent.
            return Optional.empty();
        }
    }
}
