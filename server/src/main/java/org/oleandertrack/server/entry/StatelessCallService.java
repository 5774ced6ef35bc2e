package org.oleandertrack.server.entry;

import java.util.UUID;
import org.oleandertrack.core.config.ProgramClass;

/** Runs calls that belong to no program and may be repeated; they need no persistent state. */
final class StatelessCallService implements LocalCallService.ActiveCallService {

    /** Marks a call that needs no shard holder; the sidecar does not check its fencing number. */
    private static final long NO_FENCE = 0;

    private final Dispatcher mDispatcher;
    private final CallPreconditions mPreconditions;

    StatelessCallService(Dispatcher dispatcher, CallPreconditions preconditions) {
        mDispatcher = dispatcher;
        mPreconditions = preconditions;
    }

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        ProgramClass programClass = mPreconditions.requireProgramClass(request);
        long deadlineNanos = Deadlines.after(call.startNanos(), request.timeoutMillis());
        DispatchContext context =
                new DispatchContext(
                        UUID.randomUUID().toString(),
                        0,
                        NO_FENCE,
                        deadlineNanos,
                        () -> Long.MAX_VALUE,
                        0,
                        ClassPriority.of(programClass),
                        programClass.targets());
        mDispatcher.run(call, context, sink);
        sink.end();
    }
}
