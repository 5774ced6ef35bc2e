package org.oleandertrack.gateway.peer;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.oleandertrack.coordination.spending.OutageAllowance;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.http.HttpResponses;
import org.oleandertrack.http.InboundHandler;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;

/**
 * Serves peers. Calls for the store are passed on by this host's own connection only, and refused
 * at once while this host cannot reach the store either. Thread-safe.
 */
public final class PeerHandler implements InboundHandler {

    private static final String JSON = "application/json";

    private final RowStore mDirect;
    private final BooleanSupplier mDirectFails;
    private final OutageAllowance mAllowance;

    /**
     * Creates a handler.
     *
     * @param direct the store without a detour through peers
     * @param directFails whether the store cannot be reached from here at present
     * @param allowance outage allowances for which this host is the issuer
     */
    public PeerHandler(RowStore direct, BooleanSupplier directFails, OutageAllowance allowance) {
        mDirect = direct;
        mDirectFails = directFails;
        mAllowance = allowance;
    }

    @Override
    public void handle(InboundRequest request, ResponseWriter writer) {
        String body = request.body().toString(StandardCharsets.UTF_8);
        CompletableFuture<?> answer;
        try {
            answer = call(request.head().uri(), body);
        } catch (IllegalStateException e) {
            writer.respond(
                    HttpResponses.text(
                            HttpResponseStatus.BAD_REQUEST, "text/plain", e.getMessage()));
            return;
        }
        var _ =
                answer.whenComplete(
                        (value, failure) ->
                                writer.eventLoop().execute(() -> respond(writer, value, failure)));
    }

    private CompletableFuture<?> call(String path, String body) {
        return switch (path) {
            case PeerMessages.TAKE_ALLOWANCE -> {
                PeerMessages.TakeAllowance take =
                        RowJson.decode(path, body, PeerMessages.TakeAllowance.class);
                boolean taken =
                        mAllowance.take(take.program(), take.budgetTokens(), take.maxTokens());
                yield CompletableFuture.completedFuture(new PeerMessages.Taken(taken));
            }
            case PeerMessages.RETURN_ALLOWANCE -> {
                PeerMessages.ReturnAllowance given =
                        RowJson.decode(path, body, PeerMessages.ReturnAllowance.class);
                mAllowance.giveBack(given.program(), given.tokens());
                yield CompletableFuture.completedFuture(new PeerMessages.Taken(false));
            }
            default -> callStore(path, body);
        };
    }

    private CompletableFuture<?> callStore(String path, String body) {
        if (mDirectFails.getAsBoolean()) {
            return CompletableFuture.failedFuture(
                    new StoreException(
                            Execution.NOT_RUN, "the store cannot be reached from here", null));
        }
        return switch (path) {
            case PeerMessages.READ -> {
                PeerMessages.Read read = RowJson.decode(path, body, PeerMessages.Read.class);
                Optional<String> from = Optional.of(read.fromKey()).filter(key -> !key.isEmpty());
                yield mDirect.read(read.table(), read.part(), from, read.limit());
            }
            case PeerMessages.APPLY ->
                    mDirect.apply(RowJson.decode(path, body, RowTransaction.class))
                            .thenApply(PeerMessages.Applied::of);
            case PeerMessages.CHANGES -> {
                PeerMessages.AwaitChanges wait =
                        RowJson.decode(path, body, PeerMessages.AwaitChanges.class);
                yield mDirect.awaitChanges(wait.table(), wait.afterVersion(), wait.waitMillis())
                        .thenApply(PeerMessages.Changes::of);
            }
            default -> throw new IllegalStateException("unknown path " + path);
        };
    }

    private static void respond(ResponseWriter writer, Object value, Throwable failure) {
        if (failure == null) {
            writer.respond(HttpResponses.text(HttpResponseStatus.OK, JSON, RowJson.encode(value)));
            return;
        }
        boolean notRun = StoreFailures.executionOf(failure) == Execution.NOT_RUN;
        writer.respond(
                HttpResponses.empty(
                        notRun
                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                : HttpResponseStatus.BAD_GATEWAY));
    }
}
