package org.oleandertrack.system.scenario;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions of other processes by polling. The bound only ends a hopeless wait. */
final class Poller {

    private static final long POLL_NANOS = 20_000_000;
    private static final int MAX_POLLS = 1_500;

    private Poller() {}

    /** Polls until the condition holds; fails with the description after the last poll. */
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
        LockSupport.parkNanos(POLL_NANOS);
    }
}
