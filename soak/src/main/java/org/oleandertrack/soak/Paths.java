package org.oleandertrack.soak;

import java.util.concurrent.atomic.AtomicLong;
import org.oleandertrack.standins.published.PublishedServer;

/** Selects the paths of requests: some have slow responses, some long ones. Thread-safe. */
final class Paths {

    private static final int SLOW_PERIOD = 11;
    private static final int LONG_PERIOD = 5;

    private final AtomicLong mCount = new AtomicLong();

    /** Returns a path that begins with one of the given prefixes. */
    String next(String... prefixes) {
        long number = mCount.getAndIncrement();
        String prefix = prefixes[(int) (number % prefixes.length)];
        if (number % SLOW_PERIOD == 0) {
            return prefix + "x" + PublishedServer.SLOW_SUFFIX;
        }
        return prefix + "x" + (number % LONG_PERIOD == 0 ? PublishedServer.LONG_SUFFIX : "");
    }
}
