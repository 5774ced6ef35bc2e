package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** What a caller has received of a stream. Confined to the call's event loop. */
final class StreamProgress {

    private boolean mStarted;
    private long mEvents;
    private Optional<String> mLastEventId = Optional.empty();
    private long mFirstEventNanos;
    private long mLastEventNanos;
    private long mLongestGapNanos;

    /** Returns whether the head of the answer was sent to the caller. */
    boolean isStarted() {
        return mStarted;
    }

    long events() {
        return mEvents;
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns the time of the last event, or of the last send if that was later. */
    long lastActivityNanos(long sentNanos) {
        return mEvents == 0 || sentNanos - mLastEventNanos > 0 ? sentNanos : mLastEventNanos;
    }

    /** Returns the time from an earlier moment to the first event; 0 if there was none. */
    long firstEventMillis(long sinceNanos) {
        return mEvents == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(mFirstEventNanos - sinceNanos);
    }

    long longestGapMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mLongestGapNanos);
    }

    void started() {
        mStarted = true;
    }

    void eventSent(Optional<String> id, long nowNanos) {
        if (mEvents++ == 0) {
            mFirstEventNanos = nowNanos;
        } else {
            mLongestGapNanos = Math.max(mLongestGapNanos, nowNanos - mLastEventNanos);
        }
        mLastEventNanos = nowNanos;
        if (id.isPresent()) {
            mLastEventId = id;
        }
    }
}
