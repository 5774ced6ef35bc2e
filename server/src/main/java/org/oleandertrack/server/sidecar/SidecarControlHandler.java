package org.oleandertrack.server.sidecar;

import java.util.function.Consumer;
import org.oleandertrack.protocol.ControlHandler;
import org.oleandertrack.protocol.message.AttemptQuery;
import org.oleandertrack.protocol.message.AttemptStatus;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Hello;

/** Takes control frames of entry hosts. Thread safe. */
final class SidecarControlHandler implements ControlHandler {

    private final AttemptRegistry mAttempts;
    private final EngineMemory mMemory;

    SidecarControlHandler(AttemptRegistry attempts, EngineMemory memory) {
        mAttempts = attempts;
        mMemory = memory;
    }

    @Override
    public void onControl(Hello peer, Frame frame, Consumer<Frame> reply) {
        switch (frame.getPayloadCase()) {
            case RELEASE_MEMORY -> mMemory.release(frame.getReleaseMemory());
            case ATTEMPT_QUERY -> reply.accept(answer(frame.getAttemptQuery()));
            default -> {
                // A sidecar needs none of the other control frames.
            }
        }
    }

    private Frame answer(AttemptQuery query) {
        AttemptStatus.Builder status =
                AttemptStatus.newBuilder()
                        .setAttemptId(query.getAttemptId())
                        .setQueryId(query.getQueryId())
                        .setExecution(
                                SidecarCallHandler.toMessage(
                                        mAttempts.query(query.getAttemptId())));
        return Frame.newBuilder().setAttemptStatus(status).build();
    }
}
