package org.oleandertrack.standins.load;

import java.net.URI;
import java.util.List;

/**
 * Settings of a run of the load client. In the path and query of the URL, the headers and the body,
 * {@code {n}} is replaced by the number of the call, counted from 1.
 *
 * @param url http URL of the calls
 * @param headers header lines of the form {@code Name: value}
 * @param stream whether responses are server-sent events that end with {@code data: [DONE]}
 * @param concurrency number of connections, each with one call at a time
 * @param maxSeconds time limit of the run
 */
public record LoadOptions(
        URI url,
        String method,
        List<String> headers,
        String body,
        boolean stream,
        long calls,
        int concurrency,
        long maxSeconds) {

    /** Largest time limit that a run may have. */
    public static final long LARGEST_MAX_SECONDS = 600;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a setting is out of range or not supported
     */
    public LoadOptions {
        headers = List.copyOf(headers);
        if (!"http".equals(url.getScheme()) || url.getHost() == null) {
            throw new IllegalArgumentException("not an http URL: " + url);
        }
        if (method.equals("HEAD")) {
            throw new IllegalArgumentException("the method HEAD is not supported");
        }
        if (calls < 1 || concurrency < 1) {
            throw new IllegalArgumentException("calls and concurrency must be at least 1");
        }
        if (maxSeconds < 1 || maxSeconds > LARGEST_MAX_SECONDS) {
            throw new IllegalArgumentException(
                    "max-seconds is not between 1 and " + LARGEST_MAX_SECONDS);
        }
    }

    int port() {
        return url.getPort() == -1 ? 80 : url.getPort();
    }
}
