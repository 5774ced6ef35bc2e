package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** The list of hosts. A change becomes visible after a lag. Thread-safe. */
public final class HostRegistry {

    private record PendingChange(long visibleAtNanos, JsonNode hosts) {}

    private final LongSupplier mNanoClock;
    private final Deque<PendingChange> mPendingChanges = new ArrayDeque<>();
    private JsonNode mVisibleHosts;

    public HostRegistry(LongSupplier nanoClock, JsonNode hosts) {
        mNanoClock = nanoClock;
        mVisibleHosts = hosts;
    }

    /**
     * Replaces the list. The new list becomes visible after the lag, and not before the lists of
     * earlier calls.
     */
    public synchronized void replaceHosts(JsonNode hosts, long lagMillis) {
        mPendingChanges.add(
                new PendingChange(mNanoClock.getAsLong() + lagMillis * 1_000_000, hosts));
    }

    /** Returns the list that is currently visible. */
    public synchronized JsonNode visibleHosts() {
        long now = mNanoClock.getAsLong();
        while (!mPendingChanges.isEmpty() && mPendingChanges.peek().visibleAtNanos() - now <= 0) {
            mVisibleHosts = mPendingChanges.remove().hosts();
        }
        return mVisibleHosts;
    }
}
