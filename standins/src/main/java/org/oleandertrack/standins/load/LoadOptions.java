package org.oleandertrack.standins.load;

import java.net.URI;
import java.util.List;

/**
 * What the load client sends. In the target, the header values and the body, {@code {n}} stands for
 * the number of the call, counted from 1.
 *
 * @param headers lines of the form {@code Name: value}
 * @param stream whether answers are server-sent events that end with {@code data: [DONE]}
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

    /** The longest time that one run may take. */
    public static final long LARGEST_MAX_SECONDS = 600;

    /** Checks the settings. */
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
