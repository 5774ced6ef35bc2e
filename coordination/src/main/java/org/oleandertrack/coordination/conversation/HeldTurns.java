package org.oleandertrack.coordination.conversation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Turns that have ended but are not in the store yet, because it is away. They are bounded in
 * bytes; a turn that does not fit is not accepted, because dropping another one would lose it.
 * Thread-safe.
 */
final class HeldTurns {

    private record Entry(KeptTurn turn, long expiresAtNanos) {}

    private final long mCapacityBytes;
    private final Map<String, Entry> mTurns = new LinkedHashMap<>();
    private long mSizeBytes;

    HeldTurns(long capacityBytes) {
        mCapacityBytes = capacityBytes;
    }

    /** Returns whether the turn is held now. */
    synchronized boolean add(KeptTurn turn, long nowNanos) {
        remove(turn.turnId());
        int sizeBytes = turn.conversation().sizeBytes();
        if (mSizeBytes + sizeBytes > mCapacityBytes) {
            return false;
        }
        mSizeBytes += sizeBytes;
        long expiresAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(turn.retentionMillis());
        mTurns.put(turn.turnId(), new Entry(turn, expiresAtNanos));
        return true;
    }

    synchronized Optional<Conversation> get(String turnId) {
        return Optional.ofNullable(mTurns.get(turnId)).map(entry -> entry.turn().conversation());
    }

    /** Returns whether the turn was held until now. */
    synchronized boolean remove(String turnId) {
        Entry removed = mTurns.remove(turnId);
        if (removed == null) {
            return false;
        }
        mSizeBytes -= removed.turn().conversation().sizeBytes();
        return true;
    }

    /** Removes and returns the ids of the turns whose retention time has passed. */
    synchronized List<String> removeExpired(long nowNanos) {
        List<String> expired = new ArrayList<>();
        mTurns.forEach(
                (turnId, entry) -> {
                    if (nowNanos - entry.expiresAtNanos() >= 0) {
                        expired.add(turnId);
                    }
                });
        expired.forEach(this::remove);
        return expired;
    }

    /** Returns the turns that have been held longest. */
    synchronized List<KeptTurn> oldest(int limit) {
        return mTurns.values().stream().limit(limit).map(Entry::turn).toList();
    }

    synchronized int count() {
        return mTurns.size();
    }
}
