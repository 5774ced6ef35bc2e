package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;

/**
 * Watches whether the content of a call's request crashes the targets that run it. Confined to the
 * call's event loop.
 */
final class ContentGuard {

    private final InboundRequest mRequest;
    private final Optional<String> mPreviousTurnId;
    private final EventLoop mLoop;
    private final CallLog mLog;

    ContentGuard(
            InboundRequest request, Optional<String> previousTurnId, EventLoop loop, CallLog log) {
        mRequest = request;
        mPreviousTurnId = previousTurnId;
        mLoop = loop;
        mLog = log;
    }

    /** Finds out whether the target of a failed attempt has crashed when it began to run it. */
    void watch(Attempt attempt) {
        if (!attempt.isBeginning(System.nanoTime())) {
            return;
        }
        String content = RequestContent.digestOf(mRequest, mPreviousTurnId);
        TargetHandle handle = attempt.handle();
        new CrashWatch(mLoop).start(handle, () -> mLog.targetDown(handle, content));
    }
}
