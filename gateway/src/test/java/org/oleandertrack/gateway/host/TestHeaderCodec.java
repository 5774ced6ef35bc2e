package org.oleandertrack.gateway.host;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.oleandertrack.core.organisation.CallerIdentity;
import org.oleandertrack.core.organisation.KeyDigest;
import org.oleandertrack.core.turn.ReportedLoad;
import org.oleandertrack.gateway.call.CallMetadata;
import org.oleandertrack.gateway.call.HeaderCodec;
import org.oleandertrack.gateway.call.ProgramMetadata;
import org.oleandertrack.gateway.call.ResponseMetadata;
import org.oleandertrack.gateway.call.StreamTakeUp;
import org.oleandertrack.gateway.call.TargetInstructions;
import org.oleandertrack.gateway.call.TurnMetadata;

/** Headers with the names that the tests use. */
final class TestHeaderCodec implements HeaderCodec {

    @Override
    public CallMetadata decodeRequest(HttpHeaders headers) {
        OptionalLong budget =
                headers.contains("Budget")
                        ? OptionalLong.of(Long.parseLong(headers.get("Budget")))
                        : OptionalLong.empty();
        Optional<ProgramMetadata> program =
                Optional.ofNullable(headers.get("Program"))
                        .map(id -> new ProgramMetadata(id, id, OptionalLong.empty()));
        return new CallMetadata(
                headers.get("Id", ""),
                OptionalLong.empty(),
                program,
                program.map(
                        id -> new TurnMetadata(10, 20, List.of(), OptionalLong.empty(), budget)),
                Optional.ofNullable(headers.get("Previous")),
                Optional.ofNullable(headers.get("Resume-After"))
                        .map(
                                id ->
                                        new StreamTakeUp(
                                                Optional.ofNullable(headers.get("First-Id")), id)));
    }

    @Override
    public Optional<KeyDigest> readAccessKey(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("Key")).map(KeyDigest::ofKey);
    }

    @Override
    public void writeInstructions(HttpHeaders headers, TargetInstructions instructions) {
        if (!(instructions.caller() instanceof CallerIdentity.Unchecked)) {
            headers.remove("Key");
            headers.remove("Organisation");
        }
        if (instructions.caller() instanceof CallerIdentity.Member member) {
            headers.set("Organisation", member.organisation().name());
        }
        headers.set("Target", instructions.targetId());
        headers.set("Deadline", instructions.timeoutMillis());
        instructions
                .resumeAfterEventId()
                .ifPresentOrElse(
                        id -> headers.set("Resume-After", id),
                        () -> headers.remove("Resume-After"));
    }

    @Override
    public ResponseMetadata decodeResponse(HttpHeaders headers) {
        return new ResponseMetadata(
                Optional.ofNullable(headers.get("Id")),
                headers.contains("Not-Executed"),
                Optional.ofNullable(headers.get("Running"))
                        .map(running -> new ReportedLoad(Integer.parseInt(running), 0, 4, 1)),
                headers.contains("Rate")
                        ? OptionalDouble.of(Double.parseDouble(headers.get("Rate")))
                        : OptionalDouble.empty(),
                headers.contains("Leaving"));
    }

    @Override
    public void writeRequestId(HttpHeaders headers, String requestId) {
        headers.set("Id", requestId);
    }
}
