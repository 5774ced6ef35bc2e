package org.oleandertrack.system.scenario;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits by polling until other processes reach a condition. The maximum number of polls, which
 * takes about 30 s, only ends waits for conditions that are never met.
 */
final class Poller {

    private static final long POLL_INTERVAL_NANOS = 20_000_000;
    private static final int MAX_POLLS = 1_500;

    private Poller() {}

    /**
     * Polls until the condition holds.
     *
     * @throws AssertionError with the description if it does not hold at the last poll
     */
    static void await(Supplier<String> description, BooleanSupplier condition) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            pause();
        }
        throw new AssertionError("not reached: " + description.get());
    }

    static void pause() {
        LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
}
