package org.oleandertrack.server.entry;

import java.util.UUID;
import org.oleandertrack.core.config.ProgramClass;

/** Runs calls that belong to no program and may be repeated: they need no lasting state. */
final class DirectCallService implements LocalCallService.ActiveCallService {

    /** Calls without a holder carry no fencing number, and the sidecar checks none. */
    private static final long NO_FENCE = 0;

    private final Dispatcher mDispatcher;
    private final CallPreconditions mPreconditions;

    DirectCallService(Dispatcher dispatcher, CallPreconditions preconditions) {
        mDispatcher = dispatcher;
        mPreconditions = preconditions;
    }

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        ProgramClass programClass = mPreconditions.programClass(request);
        long deadlineNanos = Deadlines.after(call.startNanos(), request.timeoutMillis());
        DispatchGrant grant =
                new DispatchGrant(
                        UUID.randomUUID().toString(),
                        0,
                        NO_FENCE,
                        deadlineNanos,
                        () -> Long.MAX_VALUE,
                        0,
                        ClassPriority.of(programClass),
                        programClass.targets());
        mDispatcher.run(call, grant, sink);
        sink.end();
    }
}
