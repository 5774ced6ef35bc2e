package org.oleandertrack.gateway.peer;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.quarantine.QuarantineService;
import org.oleandertrack.coordination.spending.OutageAllowances;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.stream.StreamOriginService;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.rate.TargetPacers;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.gateway.organisation.OrganisationPermitService;
import org.oleandertrack.http.HttpResponses;
import org.oleandertrack.http.InboundHandler;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;
import org.tinylog.Logger;

/**
 * Serves calls of peers. Calls to the store are relayed over this host's direct connection only,
 * never through another peer, and fail at once while this host cannot reach the store. Thread-safe.
 */
public final class PeerHandler implements InboundHandler {

    private static final String JSON = "application/json";

    private final RowStore mDirectStore;
    private final BooleanSupplier mDirectStoreFails;
    private final OutageAllowances mOwnAllowances;
    private final ConversationService mConversations;
    private final TargetPacers mOwnPacers;
    private final QuarantineService mQuarantine;
    private final StreamOriginService mStreamOrigins;
    private final OrganisationPermitService mOrganisationPermits;
    private final ConfigFreshness mFreshness;
    private final PeerConfiguration mConfiguration;

    /**
     * Creates a handler.
     *
     * @param directStore the store, reached without relaying through peers
     * @param directStoreFails returns whether direct calls to the store currently fail
     * @param ownAllowances outage allowances that this host holds
     * @param ownPacers pacers of the targets that this host paces for all hosts
     * @param organisationPermits issues permits of the organisations for which this host is a
     *     candidate
     */
    public PeerHandler(
            RowStore directStore,
            BooleanSupplier directStoreFails,
            OutageAllowances ownAllowances,
            ConversationService conversations,
            TargetPacers ownPacers,
            QuarantineService quarantine,
            StreamOriginService streamOrigins,
            OrganisationPermitService organisationPermits,
            ConfigFreshness freshness,
            PeerConfiguration configuration) {
        mDirectStore = directStore;
        mDirectStoreFails = directStoreFails;
        mOwnAllowances = ownAllowances;
        mConversations = conversations;
        mOwnPacers = ownPacers;
        mQuarantine = quarantine;
        mStreamOrigins = streamOrigins;
        mOrganisationPermits = organisationPermits;
        mFreshness = freshness;
        mConfiguration = configuration;
    }

    @Override
    public void handle(InboundRequest request, ResponseWriter writer) {
        String body = request.body().toString(StandardCharsets.UTF_8);
        CompletableFuture<?> result;
        try {
            result = call(request.head().uri(), body);
        } catch (RuntimeException e) {
            // A message with missing or foreign values can fail anywhere; it harms only this call.
            Logger.warn("call {} of a peer rejected: {}", request.head().uri(), e.toString());
            writer.respond(
                    HttpResponses.text(
                            HttpResponseStatus.BAD_REQUEST,
                            "text/plain",
                            String.valueOf(e.getMessage())));
            return;
        }
        var _ =
                result.whenComplete(
                        (value, failure) ->
                                writer.eventLoop().execute(() -> respond(writer, value, failure)));
    }

    private CompletableFuture<?> call(String path, String body) {
        return switch (path) {
            case PeerMessages.DEPOSIT_ALLOWANCE_PATH -> {
                PeerMessages.MoveAllowance deposit =
                        RowJson.decode(path, body, PeerMessages.MoveAllowance.class);
                mOwnAllowances.deposit(deposit.program(), deposit.tokens());
                yield CompletableFuture.completedFuture(new PeerMessages.AllowanceMoved(true));
            }
            case PeerMessages.TAKE_ALLOWANCE_PATH -> {
                PeerMessages.MoveAllowance take =
                        RowJson.decode(path, body, PeerMessages.MoveAllowance.class);
                yield CompletableFuture.completedFuture(
                        new PeerMessages.AllowanceMoved(
                                mOwnAllowances.take(take.program(), take.tokens())));
            }
            case PeerMessages.TAKE_PERMIT_PATH -> {
                PeerMessages.TakePermit take =
                        RowJson.decode(path, body, PeerMessages.TakePermit.class);
                yield CompletableFuture.completedFuture(
                        PeerMessages.Permit.of(
                                mOwnPacers.take(take.toPermitRequest(), System.nanoTime())));
            }
            case OrganisationPermitMessages.TAKE_PATH ->
                    mOrganisationPermits
                            .take(
                                    RowJson.decode(
                                                    path,
                                                    body,
                                                    OrganisationPermitMessages.Take.class)
                                            .toPermitCall())
                            .thenApply(OrganisationPermitMessages.Decision::of);
            case OrganisationPermitMessages.REACH_PATH ->
                    CompletableFuture.completedFuture(new OrganisationPermitMessages.Reached(true));
            case PeerMessages.REPORT_CRASHES_PATH -> {
                PeerMessages.ReportCrashes report =
                        RowJson.decode(path, body, PeerMessages.ReportCrashes.class);
                mQuarantine.recordReported(report.requestKey(), Set.copyOf(report.targetIds()));
                yield CompletableFuture.completedFuture(new PeerMessages.CrashesReported(true));
            }
            case PeerMessages.WRITE_TURN_PATH -> {
                PeerMessages.WriteTurn write =
                        RowJson.decode(path, body, PeerMessages.WriteTurn.class);
                yield mConversations
                        .writeForPeer(write.toKeptTurn(), write.choice(), write.keptMillis())
                        .thenApply(receipt -> new PeerMessages.TurnWritten(true));
            }
            case PeerMessages.FIND_TURN_PATH -> {
                PeerMessages.FindTurn find =
                        RowJson.decode(path, body, PeerMessages.FindTurn.class);
                Optional<Conversation> found = mConversations.findLocally(find.turnId());
                yield CompletableFuture.completedFuture(
                        new PeerMessages.FoundTurn(
                                found.isPresent(),
                                found.orElse(Conversation.EMPTY).toCharacters(),
                                mConversations.remembersSince(find.retentionMillis())));
            }
            case PeerMessages.HOLD_ORIGINS_PATH -> {
                PeerMessages.HoldOrigins hold =
                        RowJson.decode(path, body, PeerMessages.HoldOrigins.class);
                hold.origins().forEach(mStreamOrigins::holdForPeer);
                yield CompletableFuture.completedFuture(
                        new PeerMessages.OriginsHeld(hold.origins().size()));
            }
            case PeerMessages.FIND_ORIGIN_PATH -> {
                PeerMessages.FindOrigin find =
                        RowJson.decode(path, body, PeerMessages.FindOrigin.class);
                yield CompletableFuture.completedFuture(
                        new PeerMessages.FoundOrigin(
                                mStreamOrigins.findLocally(find.requestId()).orElse(null)));
            }
            case PeerMessages.CONFIGURATION_AGE_PATH ->
                    CompletableFuture.completedFuture(
                            PeerMessages.ConfigurationAge.of(mFreshness, mConfiguration));
            case PeerMessages.READ_CONFIGURATION_PATH ->
                    CompletableFuture.completedFuture(
                            new PeerMessages.ConfigurationRow(mConfiguration.row().orElse(null)));
            default -> callStore(path, body);
        };
    }

    private CompletableFuture<?> callStore(String path, String body) {
        if (mDirectStoreFails.getAsBoolean()) {
            return CompletableFuture.failedFuture(
                    new StoreException(
                            Execution.NOT_RUN, "this host cannot reach the store directly", null));
        }
        return switch (path) {
            case PeerMessages.READ_PATH -> {
                PeerMessages.Read read = RowJson.decode(path, body, PeerMessages.Read.class);
                Optional<String> from = Optional.of(read.fromKey()).filter(key -> !key.isEmpty());
                yield mDirectStore.read(read.table(), read.part(), from, read.limit());
            }
            case PeerMessages.APPLY_PATH ->
                    mDirectStore
                            .apply(RowJson.decode(path, body, RowTransaction.class))
                            .thenApply(PeerMessages.Applied::of);
            case PeerMessages.CHANGES_PATH -> {
                PeerMessages.AwaitChanges wait =
                        RowJson.decode(path, body, PeerMessages.AwaitChanges.class);
                yield mDirectStore
                        .awaitChanges(wait.table(), wait.afterVersion(), wait.waitMillis())
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
        writer.respond(HttpResponses.empty(statusOf(failure)));
    }

    private static HttpResponseStatus statusOf(Throwable failure) {
        if (StoreFailures.isOverRate(failure)) {
            return HttpResponseStatus.TOO_MANY_REQUESTS;
        }
        if (StoreFailures.isRejected(failure)) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        return StoreFailures.executionOf(failure) == Execution.NOT_RUN
                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                : HttpResponseStatus.BAD_GATEWAY;
    }
}
