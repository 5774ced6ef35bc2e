package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.oleandertrack.protocol.message.Call;

/** Converts between requests and the heads of calls in the protocol between hosts. */
final class CallHeadConverter {

    private CallHeadConverter() {}

    static Call.Builder toBuilder(CallerRequest request) {
        Call.Builder builder =
                Call.newBuilder()
                        .setKind(request.kind())
                        .setOrganisation(request.organisation())
                        .setProgramClass(request.programClass())
                        .setProgram(request.program().orElse(""))
                        .setTurn(request.turn())
                        .setTimeoutMillis(request.timeoutMillis())
                        .setRepeatable(request.repeatable())
                        .setMethod(request.method())
                        .setPath(request.path())
                        .addAllHeaders(request.headers())
                        .setStreamed(request.streamed())
                        .setMaxGeneratedTokens(request.maxGeneratedTokens())
                        .setTarget(request.destination())
                        .setIdempotencyKey(request.idempotencyKey().orElse(""))
                        .setEndProgram(request.endProgram())
                        .setBodyBytes(request.body().size());
        request.budgetTokens().ifPresent(builder::setBudgetTokens);
        return builder;
    }

    /** Restores the request of a call that another entry host forwarded. */
    static CallerRequest toRequest(Call head, ByteString body) {
        return new CallerRequest(
                head.getKind(),
                head.getOrganisation(),
                head.getProgramClass(),
                optional(head.getProgram()),
                head.getTurn(),
                head.getBudgetTokens() > 0 ? Optional.of(head.getBudgetTokens()) : Optional.empty(),
                head.getTimeoutMillis(),
                head.getRepeatable(),
                optional(head.getIdempotencyKey()),
                head.getEndProgram(),
                head.getMethod(),
                head.getPath(),
                head.getHeadersList(),
                body,
                head.getStreamed(),
                head.getTarget(),
                head.getMaxGeneratedTokens());
    }

    private static Optional<String> optional(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }
}
