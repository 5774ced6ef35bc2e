package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.oleandertrack.coordination.stream.OriginLookup;
import org.oleandertrack.coordination.stream.RecordedOrigin;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.coordination.stream.StreamOriginService;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.gateway.targets.TargetFilter;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.gateway.targets.TargetRegistry;

/**
 * Keeps a call's stream at the software version that began it, because the events of two versions
 * do not fit together. Has no effect on calls of other routes. Confined to the call's event loop.
 */
final class StreamContinuation {

    // Added to the caller's remaining time, so that its last try still finds the origin.
    private static final long RETENTION_MARGIN_MILLIS = 2_000;

    private final StreamOriginService mOrigins;
    private final TargetRegistry mTargets;
    private final boolean mIsStream;
    private final boolean mKeepsHistory;
    private final boolean mMayBeTakenUp;
    private final CallMetadata mMetadata;
    private final String mService;
    private final EventLoop mLoop;
    private final CallLog mLog;
    // Number of the last event of the stream that the caller takes up; 0 if it takes up none.
    private long mLastTakenUpEvent;
    private boolean mBegun;
    // Empty if the stream has not begun, or if it is not certain what began it.
    private Optional<StreamOrigin> mOrigin = Optional.empty();

    StreamContinuation(
            CallContext context,
            Route route,
            CallMetadata metadata,
            String service,
            EventLoop loop,
            CallLog log) {
        mOrigins = context.streamOrigins();
        mTargets = context.targets();
        mIsStream = route.kind() == RequestKind.STREAMING;
        mKeepsHistory = route.keepsHistory();
        mMayBeTakenUp = route.isRepeatable() && !metadata.requestId().isEmpty();
        mMetadata = metadata;
        mService = service;
        mLoop = loop;
        mLog = log;
    }

    // Accessors

    /**
     * Returns the event after which a target is to continue.
     *
     * @param lastEventId id of the last event that a target has sent in this call
     */
    Optional<String> resumeAfter(Optional<String> lastEventId) {
        return lastEventId.or(
                () ->
                        mKeepsHistory
                                ? Optional.empty()
                                : mMetadata.takeUp().map(StreamTakeUp::lastEventId));
    }

    /**
     * Returns whether the caller already has an event. A turn that is kept is generated from its
     * start, because nobody has the data of the events that an earlier call forwarded.
     */
    boolean isKnownToCaller(EventSplitter.Event event) {
        return mKeepsHistory
                && mIsStream
                && event.number().isPresent()
                && event.number().getAsLong() <= mLastTakenUpEvent;
    }

    /** Returns the targets to which the request may be sent; empty if there can be none. */
    Optional<TargetFilter> targetsExcept(Set<String> excludedIds) {
        if (mBegun && mOrigin.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetFilter(excludedIds, mOrigin.map(StreamOrigin::softwareVersion)));
    }

    /**
     * Returns the refusal of a stream that only targets of other versions are left for. Empty while
     * no target of the service is known, because this host may have just started.
     */
    Optional<ResultException> refusal() {
        return mOrigin.filter(origin -> mTargets.targetCount(mService) > 0)
                .filter(origin -> !mTargets.hasVersion(mService, origin.softwareVersion()))
                .map(origin -> CallFailures.versionGone(mService, origin.softwareVersion()));
    }

    // Operations

    /**
     * Finds out which version may continue a stream that the caller takes up.
     *
     * @param onResult receives the reason if the stream cannot be continued; called on the event
     *     loop, possibly before this method returns
     */
    void begin(Consumer<Optional<ResultException>> onResult) {
        if (!mIsStream || mMetadata.takeUp().isEmpty()) {
            onResult.accept(Optional.empty());
            return;
        }
        mBegun = true;
        StreamTakeUp takeUp = mMetadata.takeUp().get();
        if (mKeepsHistory && takeUp.lastEventNumber().isEmpty()) {
            onResult.accept(
                    Optional.of(CallFailures.originUnknown("the last event has no number")));
            return;
        }
        mLastTakenUpEvent = takeUp.lastEventNumber().orElse(0);
        long startNanos = System.nanoTime();
        var _ =
                mOrigins.find(mMetadata.storedFirstRequestId(), mService)
                        .thenAccept(
                                lookup ->
                                        runOnLoop(
                                                () -> {
                                                    mLog.streamOrigin(
                                                            takeUp.firstRequestId().orElse(""),
                                                            lookup,
                                                            System.nanoTime() - startNanos);
                                                    onResult.accept(onLookup(lookup));
                                                }));
    }

    /**
     * Records an event before it is forwarded to the caller.
     *
     * @param remainingMillis time that the caller still waits, in milliseconds
     */
    void recordEvent(TargetHandle handle, long remainingMillis) {
        if (mBegun) {
            return;
        }
        mBegun = true;
        // Another incarnation, with other software, may have answered in its place.
        if (handle.isLost()) {
            return;
        }
        StreamOrigin origin = new StreamOrigin(mService, handle.record().softwareVersion());
        mOrigin = Optional.of(origin);
        if (mMayBeTakenUp) {
            mOrigins.record(
                    new RecordedOrigin(
                            mMetadata.storedRequestId(),
                            origin,
                            Math.max(0, remainingMillis) + RETENTION_MARGIN_MILLIS));
        }
    }

    // Helpers

    private Optional<ResultException> onLookup(OriginLookup lookup) {
        return switch (lookup) {
            case OriginLookup.Found found -> {
                if (!found.origin().service().equals(mService)) {
                    yield Optional.of(
                            CallFailures.versionGone(
                                    mService,
                                    found.origin().softwareVersion()
                                            + " of "
                                            + found.origin().service()));
                }
                mOrigin = Optional.of(found.origin());
                yield refusal();
            }
            case OriginLookup.NotFound notFound ->
                    Optional.of(
                            CallFailures.originUnknown(
                                    "no record of the stream, and the service has several versions"));
            case OriginLookup.Unavailable unavailable ->
                    Optional.of(CallFailures.originUnknown(unavailable.reason()));
        };
    }

    // Runs at once on the event loop, so that an origin in this host's memory costs no time.
    private void runOnLoop(Runnable task) {
        if (mLoop.inEventLoop()) {
            task.run();
            return;
        }
        mLoop.execute(task);
    }
}
