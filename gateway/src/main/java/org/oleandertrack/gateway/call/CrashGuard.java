package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.quarantine.QuarantineService;
import org.oleandertrack.core.quarantine.AnsweredPaths;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;

/**
 * Keeps a call's request from targets if it crashes those that run it, and observes whether it
 * does. A request is known by its content; requests of a path that no target has answered are also
 * known by that path, because what crashes targets may be there with any body. Confined to the
 * call's event loop.
 */
final class CrashGuard {

    private static final long CONTENT_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);
    // Shorter, because requests with other bodies may be harmless.
    private static final long PATH_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(1);

    private final QuarantineService mQuarantine;
    private final AnsweredPaths mAnsweredPaths;
    private final InboundRequest mRequest;
    private final CallMetadata mMetadata;
    private final EventLoop mLoop;
    private final CallLog mLog;
    private final String mPath;
    // Computed only if it is needed, because it takes time for a long body.
    private Optional<String> mContentKey = Optional.empty();

    CrashGuard(
            CallContext context,
            InboundRequest request,
            CallMetadata metadata,
            EventLoop loop,
            CallLog log) {
        mQuarantine = context.quarantine();
        mAnsweredPaths = context.answeredPaths();
        mRequest = request;
        mMetadata = metadata;
        mLoop = loop;
        mLog = log;
        mPath = RequestIdentity.pathOf(request, metadata.scope());
    }

    /** Returns whether the request must not be sent to a target. */
    boolean isQuarantined() {
        if (!mQuarantine.hasSuspects()) {
            return false;
        }
        if (mQuarantine.isQuarantined(contentKey())) {
            return true;
        }
        String pathKey = RequestIdentity.pathKeyOf(mPath);
        if (!mQuarantine.isQuarantined(pathKey)) {
            return false;
        }
        if (mAnsweredPaths.contains(mPath)) {
            mQuarantine.recordAnswer(pathKey);
            return false;
        }
        return true;
    }

    /** Returns whether requests like this one may be the cause of known crashes of targets. */
    boolean isSuspect() {
        return mQuarantine.hasSuspects() && (!mAnsweredPaths.contains(mPath) || isQuarantined());
    }

    /** Finds out whether the target of a failed attempt has crashed when it began to run it. */
    void watch(Attempt attempt) {
        if (!attempt.isBeginning(System.nanoTime())) {
            return;
        }
        String contentKey = contentKey();
        TargetHandle handle = attempt.handle();
        new CrashWatch(mLoop, handle, () -> onCrashed(handle, contentKey)).start();
    }

    /** Records that a target has answered the request, so it does not crash targets. */
    void recordAnswer() {
        mAnsweredPaths.add(mPath);
        if (mQuarantine.hasSuspects()) {
            mContentKey.ifPresent(mQuarantine::recordAnswer);
            mQuarantine.recordAnswer(RequestIdentity.pathKeyOf(mPath));
        }
    }

    private void onCrashed(TargetHandle handle, String contentKey) {
        String pathKey = RequestIdentity.pathKeyOf(mPath);
        mLog.targetDown(handle, contentKey, pathKey);
        if (!mAnsweredPaths.contains(mPath)) {
            mQuarantine.recordCrash(pathKey, handle.incarnationId(), PATH_RETENTION_MILLIS);
        }
        mQuarantine.recordCrash(contentKey, handle.incarnationId(), CONTENT_RETENTION_MILLIS);
    }

    private String contentKey() {
        if (mContentKey.isEmpty()) {
            mContentKey = Optional.of(RequestIdentity.contentKeyOf(mRequest, mMetadata));
        }
        return mContentKey.get();
    }
}
