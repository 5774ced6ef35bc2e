package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.oleandertrack.coordination.conversation.Conversation;
import org.oleandertrack.coordination.conversation.KeptTurn;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.coordination.stream.RecordedOrigin;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.rate.PermitResult;

/** Paths of the calls between peers, and their bodies, which are encoded as JSON. */
final class PeerMessages {

    static final String READ_PATH = "/peer/read";
    static final String APPLY_PATH = "/peer/apply";
    static final String CHANGES_PATH = "/peer/changes";

    // The names differ from those of earlier releases, in which a host issued tokens that were not
    // granted before.
    static final String DEPOSIT_ALLOWANCE_PATH = "/peer/granted-allowance-deposit";
    static final String TAKE_ALLOWANCE_PATH = "/peer/granted-allowance-take";

    static final String WRITE_TURN_PATH = "/peer/turn-write";
    static final String FIND_TURN_PATH = "/peer/turn-find";

    static final String TAKE_PERMIT_PATH = "/peer/permit-take";

    static final String REPORT_CRASHES_PATH = "/peer/crash-report";

    static final String HOLD_ORIGINS_PATH = "/peer/origins-hold";
    static final String FIND_ORIGIN_PATH = "/peer/origin-find";

    static final String CONFIGURATION_AGE_PATH = "/peer/configuration-age";
    static final String READ_CONFIGURATION_PATH = "/peer/configuration-read";

    private PeerMessages() {}

    /**
     * Question for the age of a peer's knowledge of the configuration.
     *
     * @param version version in force at the host that asks; 0 if it has none
     */
    record AskConfigurationAge(long version) {}

    /**
     * Response to an {@link AskConfigurationAge}.
     *
     * @param known whether the peer has a configuration and a confirmation of it
     * @param version version in force at the peer
     * @param ageMillis time since that was confirmed as the newest one, in milliseconds
     */
    record ConfigurationAge(boolean known, long version, long ageMillis) {

        static final ConfigurationAge UNKNOWN = new ConfigurationAge(false, 0, 0);

        // The age is read first, because it holds for the version in force then and later ones.
        static ConfigurationAge of(ConfigFreshness freshness, PeerConfiguration configuration) {
            OptionalLong ageMillis = freshness.ageMillis();
            OptionalLong version = configuration.version();
            return ageMillis.isEmpty() || version.isEmpty()
                    ? UNKNOWN
                    : new ConfigurationAge(true, version.getAsLong(), ageMillis.getAsLong());
        }
    }

    /**
     * Request for the configuration in force at a peer.
     *
     * @param version version that the peer has named
     */
    record ReadConfiguration(long version) {}

    /** Response to a {@link ReadConfiguration}: the row without access keys; null if unknown. */
    record ConfigurationRow(StoredRow row) {}

    /** Request to hold the origins of streams, because the store does not take them. */
    record HoldOrigins(List<RecordedOrigin> origins) {

        HoldOrigins {
            origins = List.copyOf(origins);
        }
    }

    /** Response to a {@link HoldOrigins}. */
    record OriginsHeld(int count) {}

    /** Request for the origin of a stream that a peer has in memory. */
    record FindOrigin(String requestId) {

        FindOrigin {
            Objects.requireNonNull(requestId, "requestId is missing");
        }
    }

    /**
     * Response to a {@link FindOrigin}.
     *
     * @param origin the origin; null if the peer does not have it
     */
    record FoundOrigin(StreamOrigin origin) {}

    /** Report of targets that crashed when they began to run a request. */
    record ReportCrashes(String requestKey, List<String> targetIds) {

        ReportCrashes {
            Objects.requireNonNull(requestKey, "requestKey is missing");
            targetIds = List.copyOf(targetIds);
        }
    }

    /** Response to a {@link ReportCrashes}. */
    record CrashesReported(boolean known) {}

    /** Request for a permit to send a request to a target that limits its rate. */
    record TakePermit(
            String targetId, double requestsPerSecond, long statedAgeMillis, long maxWaitMillis) {

        TakePermit {
            Objects.requireNonNull(targetId, "targetId is missing");
            if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
                throw new IllegalArgumentException(
                        "requestsPerSecond is not a rate: " + requestsPerSecond);
            }
        }

        static TakePermit of(PermitRequest request) {
            return new TakePermit(
                    request.targetId(),
                    request.requestsPerSecond(),
                    request.statedAgeMillis(),
                    request.maxWaitMillis());
        }

        PermitRequest toPermitRequest() {
            return new PermitRequest(targetId, requestsPerSecond, statedAgeMillis, maxWaitMillis);
        }
    }

    /** Response to a {@link TakePermit}. */
    record Permit(boolean granted, long waitMillis) {

        static Permit of(PermitResult result) {
            return switch (result) {
                case PermitResult.Granted permitted -> new Permit(true, permitted.waitMillis());
                case PermitResult.Denied denied -> new Permit(false, denied.waitMillis());
            };
        }

        PermitResult toPermitResult() {
            return granted
                    ? new PermitResult.Granted(waitMillis)
                    : new PermitResult.Denied(waitMillis);
        }
    }

    /**
     * Request to write a turn to the store.
     *
     * @param text the conversation, with one character for each byte
     * @param choice number of the part to which the turn is written
     * @param keptMillis time of day at which the turn ended, in milliseconds since the epoch
     */
    record WriteTurn(
            String turnId, String text, long retentionMillis, int choice, long keptMillis) {

        WriteTurn {
            Objects.requireNonNull(turnId, "turnId is missing");
            Objects.requireNonNull(text, "text is missing");
        }

        static WriteTurn of(KeptTurn turn, int choice, long keptMillis) {
            return new WriteTurn(
                    turn.turnId(),
                    turn.conversation().toCharacters(),
                    turn.retentionMillis(),
                    choice,
                    keptMillis);
        }

        KeptTurn toKeptTurn() {
            return new KeptTurn(turnId, Conversation.ofCharacters(text), retentionMillis);
        }
    }

    /** Response to a {@link WriteTurn}. Sent with true only after the store has confirmed it. */
    record TurnWritten(boolean confirmed) {}

    /** Request for a turn that a peer has in memory. */
    record FindTurn(String turnId, long retentionMillis) {

        FindTurn {
            Objects.requireNonNull(turnId, "turnId is missing");
        }
    }

    /**
     * Response to a {@link FindTurn}.
     *
     * @param text the conversation, with one character for each byte; empty if it was not found
     * @param remembers whether the peer would know the turn if it had held it within the retention
     *     time
     */
    record FoundTurn(boolean found, String text, boolean remembers) {}

    /**
     * Request to move tokens to or from a program's outage allowance.
     *
     * @param tokens more than 0
     */
    record MoveAllowance(String program, long tokens) {

        MoveAllowance {
            Objects.requireNonNull(program, "program is missing");
            if (tokens <= 0) {
                throw new IllegalArgumentException("tokens must be positive: " + tokens);
            }
        }
    }

    /** Response to a {@link MoveAllowance}: whether the tokens were moved. */
    record AllowanceMoved(boolean moved) {}

    /** Request to read rows of a part; an empty {@code fromKey} starts at its first row. */
    record Read(String table, String part, String fromKey, int limit) {

        Read {
            Objects.requireNonNull(table, "table is missing");
            Objects.requireNonNull(part, "part is missing");
            Objects.requireNonNull(fromKey, "fromKey is missing");
        }
    }

    /** Request to wait for changes of a table. */
    record AwaitChanges(String table, long afterVersion, long waitMillis) {

        AwaitChanges {
            Objects.requireNonNull(table, "table is missing");
        }
    }

    /** Response to a transaction: the new version, or the rows that violated its conditions. */
    record Applied(boolean committed, long version, List<StoredRow> current) {

        static Applied of(TransactionResult result) {
            return switch (result) {
                case TransactionResult.Committed committed ->
                        new Applied(true, committed.version(), List.of());
                case TransactionResult.Rejected rejected ->
                        new Applied(false, 0, rejected.current());
            };
        }

        TransactionResult toTransactionResult() {
            return committed
                    ? new TransactionResult.Committed(version)
                    : new TransactionResult.Rejected(current);
        }
    }

    /** A change: either a written row or the id of a removed row. The other component is null. */
    record Change(StoredRow written, RowId removed) {

        static Change of(RowChange change) {
            return switch (change) {
                case RowChange.Written write -> new Change(write.row(), null);
                case RowChange.Removed removal -> new Change(null, removal.id());
            };
        }

        RowChange toRowChange() {
            return written != null
                    ? new RowChange.Written(written)
                    : new RowChange.Removed(removed);
        }
    }

    /** Response to a request to wait for changes. */
    record Changes(boolean historyLost, List<Change> changes, long storeVersion) {

        static Changes of(RowChanges changes) {
            return switch (changes) {
                case RowChanges.HistoryLost lost -> new Changes(true, List.of(), 0);
                case RowChanges.Changed changed ->
                        new Changes(
                                false,
                                changed.changes().stream().map(Change::of).toList(),
                                changed.storeVersion());
            };
        }

        RowChanges toRowChanges() {
            return historyLost
                    ? new RowChanges.HistoryLost()
                    : new RowChanges.Changed(
                            changes.stream().map(Change::toRowChange).toList(), storeVersion);
        }
    }
}
