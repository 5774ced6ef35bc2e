package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** The list of hosts, each change of which becomes visible after a lag. Thread-safe. */
public final class HostRegistry {

    private record Change(long visibleAtNanos, JsonNode hosts) {}

    private final LongSupplier mNanoClock;
    private final Deque<Change> mPending = new ArrayDeque<>();
    private JsonNode mHosts;

    public HostRegistry(LongSupplier nanoClock, JsonNode hosts) {
        mNanoClock = nanoClock;
        mHosts = hosts;
    }

    /** Replaces the list after a lag. Changes become visible in the order of the calls. */
    public synchronized void replace(JsonNode hosts, long lagMillis) {
        mPending.add(new Change(mNanoClock.getAsLong() + lagMillis * 1_000_000, hosts));
    }

    /** Returns the list as it is visible now. */
    public synchronized JsonNode visible() {
        long now = mNanoClock.getAsLong();
        while (!mPending.isEmpty() && mPending.peek().visibleAtNanos() - now <= 0) {
            mHosts = mPending.remove().hosts();
        }
        return mHosts;
    }
}
