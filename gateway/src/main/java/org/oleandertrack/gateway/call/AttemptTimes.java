package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.ReportedLoad;
import org.oleandertrack.core.turn.TurnObservation;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.gateway.targets.TargetRegistry;

/**
 * Times of one attempt, from which the registry learns the times of targets. Nothing is learned
 * from an attempt that was cancelled, whose response was not read at once because the caller was
 * slow, or whose target has stated no load. Confined to the call's event loop.
 */
final class AttemptTimes {

    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetRegistry mTargets;
    private final TargetHandle mHandle;
    private final PlacementChoice mChoice;
    private final String mRoute;
    private final boolean mWholeTurn;
    private final long mSentNanos;
    private final EventGaps mGaps = new EventGaps();
    private Optional<ReportedLoad> mLoad = Optional.empty();
    private OptionalLong mFirstEventNanos = OptionalLong.empty();
    private boolean mPaused;
    private boolean mRecorded;

    /**
     * Creates an instance for a request that is about to be sent.
     *
     * @param route name of the route
     * @param wholeTurn whether the request is a turn that begins at its first event
     */
    AttemptTimes(
            TargetRegistry targets,
            PlacedTarget placed,
            String route,
            boolean wholeTurn,
            long nowNanos) {
        mTargets = targets;
        mHandle = placed.handle();
        mChoice = placed.choice();
        mRoute = route;
        // A choice without a cost is that of a repeated send, whose prefill was not predicted.
        mWholeTurn = wholeTurn && mChoice.predictedCost() > 0;
        mSentNanos = nowNanos;
    }

    /** Returns the predicted time to the end of the response, in milliseconds, if there is one. */
    OptionalDouble predictedMillis() {
        return mWholeTurn
                ? OptionalDouble.of(mChoice.predictedCost())
                : mTargets.predictCallMillis(mHandle, mRoute, mSentNanos);
    }

    /** Returns the time of the first event, as {@link System#nanoTime}; empty if there was none. */
    OptionalLong firstEventNanos() {
        return mFirstEventNanos;
    }

    void recordLoad(ReportedLoad load) {
        mLoad = Optional.of(load);
    }

    /** Records that the response is not read for a while. */
    void recordPause() {
        mPaused = true;
    }

    void recordEvent(long nowNanos) {
        if (mFirstEventNanos.isEmpty()) {
            mFirstEventNanos = OptionalLong.of(nowNanos);
        }
        mGaps.recordEvent(nowNanos);
    }

    /** Records the end of a stream of events. */
    void recordStreamEnd(boolean complete, long nowNanos) {
        if (mRecorded || mPaused || mLoad.isEmpty() || mFirstEventNanos.isEmpty()) {
            return;
        }
        mRecorded = true;
        OptionalDouble firstEventMillis =
                mWholeTurn
                        ? OptionalDouble.of(
                                (mFirstEventNanos.getAsLong() - mSentNanos) / NANOS_PER_MILLI)
                        : OptionalDouble.empty();
        mTargets.recordTurnTimes(
                mHandle,
                new TurnObservation(
                        mLoad.get(),
                        mChoice.requests(),
                        mChoice.missingTokens(),
                        mChoice.missingTokensAssumed(),
                        firstEventMillis,
                        mGaps.usualMillis(),
                        complete),
                nowNanos);
    }

    /** Records the end of a complete response that is not a stream of events. */
    void recordResponseEnd(HttpResponseStatus status, long nowNanos) {
        if (mPaused || mLoad.isEmpty() || status.codeClass() != HttpStatusClass.SUCCESS) {
            return;
        }
        mTargets.recordCallTime(
                mHandle, mRoute, (nowNanos - mSentNanos) / NANOS_PER_MILLI, mLoad.get(), nowNanos);
    }
}
