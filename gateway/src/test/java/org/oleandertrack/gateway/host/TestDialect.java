package org.oleandertrack.gateway.host;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.gateway.call.AnswerFacts;
import org.oleandertrack.gateway.call.CallDialect;
import org.oleandertrack.gateway.call.CallFacts;
import org.oleandertrack.gateway.call.ProgramFacts;
import org.oleandertrack.gateway.call.TargetInstructions;
import org.oleandertrack.gateway.call.TurnFacts;

/** Header names of the tests. */
final class TestDialect implements CallDialect {

    @Override
    public CallFacts readCall(HttpHeaders headers) {
        OptionalLong budget =
                headers.contains("Budget")
                        ? OptionalLong.of(Long.parseLong(headers.get("Budget")))
                        : OptionalLong.empty();
        Optional<ProgramFacts> program =
                Optional.ofNullable(headers.get("Program"))
                        .map(id -> new ProgramFacts(id, id, OptionalLong.empty()));
        return new CallFacts(
                headers.get("Id", ""),
                OptionalLong.empty(),
                program,
                program.map(id -> new TurnFacts(10, 20, List.of(), OptionalLong.empty(), budget)));
    }

    @Override
    public void writeInstructions(HttpHeaders headers, TargetInstructions instructions) {
        headers.set("Target", instructions.targetId());
        headers.set("Deadline", instructions.deadlineMillis());
        instructions.resumeAfterEventId().ifPresent(id -> headers.set("Resume-After", id));
    }

    @Override
    public AnswerFacts readAnswer(HttpHeaders headers) {
        return new AnswerFacts(
                Optional.ofNullable(headers.get("Id")),
                headers.contains("Not-Executed"),
                Optional.empty());
    }

    @Override
    public void writeRequestId(HttpHeaders headers, String requestId) {
        headers.set("Id", requestId);
    }
}
