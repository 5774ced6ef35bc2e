package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.attempt.ForwardedPart;

/**
 * Records which part of a response was forwarded to the caller. Confined to the call's event loop.
 */
final class StreamProgress {

    private ForwardedPart mForwardedPart = ForwardedPart.NOTHING;
    private long mEventCount;
    private Optional<String> mLastEventId = Optional.empty();
    private long mFirstEventNanos;
    private long mLastEventNanos;
    private long mLongestGapNanos;

    /** Returns whether the response head was sent to the caller. */
    boolean isStarted() {
        return mForwardedPart != ForwardedPart.NOTHING;
    }

    ForwardedPart forwardedPart() {
        return mForwardedPart;
    }

    long eventCount() {
        return mEventCount;
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns the time from the given moment to the first event; 0 if there was no event. */
    long firstEventMillis(long sinceNanos) {
        return mEventCount == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(mFirstEventNanos - sinceNanos);
    }

    long longestGapMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mLongestGapNanos);
    }

    void markStarted(ForwardedPart part) {
        mForwardedPart = part;
    }

    void recordEvent(Optional<String> id, long nowNanos) {
        if (mEventCount++ == 0) {
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
