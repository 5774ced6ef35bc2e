package org.oleandertrack.server.entry;

import java.util.Set;
import java.util.UUID;

/** Runs calls that belong to no program and may be repeated: they need no lasting state. */
final class DirectCallService implements LocalCallService.ActiveCallService {

    /** Calls without a holder carry no fencing number, and the sidecar checks none. */
    private static final long NO_FENCE = 0;

    private final Dispatcher mDispatcher;

    DirectCallService(Dispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        long deadlineNanos = Dispatcher.deadlineNanos(call.startNanos(), request.timeoutMillis());
        DispatchGrant grant =
                new DispatchGrant(
                        UUID.randomUUID().toString(),
                        0,
                        NO_FENCE,
                        deadlineNanos,
                        () -> Long.MAX_VALUE,
                        0,
                        0,
                        Set.of());
        mDispatcher.run(call, grant, sink);
        sink.end();
    }
}
