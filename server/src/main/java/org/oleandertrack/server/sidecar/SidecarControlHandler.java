package org.oleandertrack.server.sidecar;

import java.util.function.Consumer;
import org.oleandertrack.protocol.ControlHandler;
import org.oleandertrack.protocol.message.AttemptQuery;
import org.oleandertrack.protocol.message.AttemptStatus;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/** Handles the control frames that entry hosts send to a sidecar. Thread safe. */
final class SidecarControlHandler implements ControlHandler {

    private final AttemptRegistry mAttempts;
    private final EngineMemoryTracker mEngineMemory;

    SidecarControlHandler(AttemptRegistry attempts, EngineMemoryTracker memory) {
        mAttempts = attempts;
        mEngineMemory = memory;
    }

    @Override
    public void onControl(Hello peer, Frame frame, Consumer<Frame> reply) {
        switch (frame.getPayloadCase()) {
            case RELEASE_MEMORY -> mEngineMemory.release(frame.getReleaseMemory());
            case ATTEMPT_QUERY -> reply.accept(toStatusFrame(frame.getAttemptQuery()));
            default -> {
                // The other control frames do not concern a sidecar.
            }
        }
    }

    private Frame toStatusFrame(AttemptQuery query) {
        AttemptStatus.Builder status =
                AttemptStatus.newBuilder()
                        .setAttemptId(query.getAttemptId())
                        .setQueryId(query.getQueryId())
                        .setExecution(
                                SidecarCallHandler.toProtocol(
                                        mAttempts.resolve(query.getAttemptId())));
        return Frame.newBuilder().setAttemptStatus(status).build();
    }
}
