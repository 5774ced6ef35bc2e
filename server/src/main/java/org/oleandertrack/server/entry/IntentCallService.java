package org.oleandertrack.server.entry;

import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Runs calls that may not be repeated, at most once for each idempotency key. Thread safe. */
final class IntentCallService implements LocalCallService.ActiveCallService {

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        throw new ResultException(ResultCode.STORE_UNAVAILABLE, "not available in this build");
    }
}
