package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.oleandertrack.standins.http.Json;

/**
 * Log of numbered cache events that simulates a delayed and lossy feed: events become visible after
 * a lag, and every n-th event can be dropped, which leaves a gap in the numbers. Thread-safe.
 */
final class CacheEventLog {

    private record Event(
            long sequence, String kind, String owner, long tokens, long visibleAtNanos) {}

    private static final int MAX_EVENTS = 100_000;

    private final LongSupplier mNanoClock;
    private final long mLagNanos;
    private final long mDropEvery;
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mLastSequence;

    CacheEventLog(LongSupplier nanoClock, long lagMillis, long dropEvery) {
        mNanoClock = nanoClock;
        mLagNanos = lagMillis * 1_000_000;
        mDropEvery = dropEvery;
    }

    synchronized void add(String kind, String owner, long tokens) {
        mLastSequence++;
        if (mDropEvery > 0 && mLastSequence % mDropEvery == 0) {
            return;
        }
        long visibleAtNanos = mNanoClock.getAsLong() + mLagNanos;
        mEvents.add(new Event(mLastSequence, kind, owner, tokens, visibleAtNanos));
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.remove();
        }
    }

    synchronized ObjectNode eventsAfter(long sequence) {
        ObjectNode node = Json.object();
        ArrayNode list = node.putArray("events");
        long now = mNanoClock.getAsLong();
        for (Event event : mEvents) {
            if (event.sequence() > sequence && event.visibleAtNanos() - now <= 0) {
                list.addObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind())
                        .put("cache_owner", event.owner())
                        .put("tokens", event.tokens());
            }
        }
        return node;
    }
}
