package org.oleandertrack.coordination.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Origins in the memory of this host: of its own streams, and those that it holds for peers. If
 * there are too many, the oldest is forgotten. Thread-safe.
 */
final class OriginMemory {

    private record Entry(StreamOrigin origin, long expiresNanos) {}

    private final int mCapacity;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    OriginMemory(int capacity) {
        mCapacity = capacity;
    }

    synchronized void put(RecordedOrigin recorded, long nowNanos) {
        mEntries.remove(recorded.requestId());
        if (mEntries.size() >= mCapacity) {
            mEntries.remove(mEntries.keySet().iterator().next());
        }
        mEntries.put(
                recorded.requestId(),
                new Entry(
                        recorded.origin(),
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(recorded.retentionMillis())));
    }

    synchronized Optional<StreamOrigin> get(String requestId, long nowNanos) {
        return Optional.ofNullable(mEntries.get(requestId))
                .filter(entry -> nowNanos - entry.expiresNanos() < 0)
                .map(Entry::origin);
    }

    synchronized void removeExpired(long nowNanos) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            if (nowNanos - entries.next().expiresNanos() >= 0) {
                entries.remove();
            }
        }
    }
}
