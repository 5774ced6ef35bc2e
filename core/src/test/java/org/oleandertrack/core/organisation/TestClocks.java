package org.oleandertrack.core.organisation;

import java.util.concurrent.TimeUnit;

/** The clocks of one host. */
final class TestClocks {

    private long mSteadyMillis;
    private long mWallMillis = 1_000_000;

    ConfigFreshness makeFreshness() {
        return new ConfigFreshness(
                this::nanos, new ForwardWallClock(this::nanos, () -> mWallMillis));
    }

    void run(long millis) {
        mSteadyMillis += millis;
        mWallMillis += millis;
    }

    /** The monotonic clock stands still while the process is frozen. */
    void freeze(long millis) {
        mWallMillis += millis;
    }

    void setWallClock(long changeMillis) {
        mWallMillis += changeMillis;
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mSteadyMillis);
    }
}
