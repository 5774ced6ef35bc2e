package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.oleandertrack.command.ConfigCommand;
import org.oleandertrack.command.ConfigReducer;
import org.oleandertrack.command.StatementFormat;
import org.oleandertrack.coordination.config.AppendOutcome;
import org.oleandertrack.coordination.config.ConfigChange;
import org.oleandertrack.coordination.config.ConfigLog;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ConfigPush;
import org.oleandertrack.protocol.message.ConfigRequest;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;

/**
 * The configuration of this process. Changes come from the log in the store, or from other entry
 * hosts that have read them already; operators' changes are appended to the log. Thread safe.
 */
final class ConfigService implements ConfigSource, ConfigWriter {

    /**
     * Age of the last confirmation above which the configuration no longer counts as current,
     * because a newer version may be in force on other entry hosts.
     */
    private static final long MAX_CONFIRMED_AGE_MILLIS = 4_000;

    /**
     * Upper bound of the time that a heartbeat spends in transit. A connection that delays
     * heartbeats for longer is closed.
     */
    private static final long MAX_HEARTBEAT_TRANSIT_MILLIS = 500;

    private static final long APPEND_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_CHANGES_PER_PUSH = 256;

    private final ConfigLog mLog;
    private final ConfigStateMachine mConfigState;
    private final ConfigReducer mConfigReducer = new ConfigReducer();
    private final StatementFormat mFormat = new StatementFormat();
    private final LongSupplier mNanoClock;

    ConfigService(ConfigLog log, ConfigStateMachine configState, LongSupplier nanoClock) {
        mLog = log;
        mConfigState = configState;
        mNanoClock = nanoClock;
    }

    // Life-cycle

    void start() {
        mLog.start();
    }

    void stop() {
        mLog.stop();
    }

    // Accessors

    @Override
    public ConfigState state() {
        return mConfigState.state();
    }

    @Override
    public boolean isCurrent() {
        return mLog.confirmedAgeMillis() <= MAX_CONFIRMED_AGE_MILLIS;
    }

    @Override
    public long confirmedAgeMillis() {
        return mLog.confirmedAgeMillis();
    }

    // Operations: operators

    @Override
    public long change(ConfigCommand command, String operator) {
        ConfigState before = mConfigState.state();
        // Throws if the current state does not allow the command, before anything is written.
        mConfigReducer.apply(before, command);
        long replacedVersion = command.replacedVersion().orElse(before.version());
        AppendOutcome outcome;
        try {
            outcome =
                    mLog.append(
                                    replacedVersion,
                                    mFormat.format(command),
                                    operator,
                                    UUID.randomUUID().toString(),
                                    Deadlines.after(mNanoClock.getAsLong(), APPEND_TIMEOUT_MILLIS))
                            .join();
        } catch (CompletionException e) {
            throw new ResultException(
                    ResultCode.STORE_UNAVAILABLE,
                    "the configuration change was not committed: " + e.getCause().getMessage());
        }
        return switch (outcome) {
            case AppendOutcome.Accepted accepted -> accepted.version();
            case AppendOutcome.Conflict conflict ->
                    throw new ResultException(
                            ResultCode.VERSION_CONFLICT,
                            "the configuration is at version "
                                    + conflict.currentVersion()
                                    + ", the command replaces version "
                                    + replacedVersion);
            case AppendOutcome.Unknown unknown ->
                    throw new ResultException(
                            ResultCode.CHANGE_OUTCOME_UNKNOWN,
                            ResultCode.CHANGE_OUTCOME_UNKNOWN.summary());
        };
    }

    // Operations: peers

    /**
     * Handles a heartbeat of another entry host. If the peer has a newer version, the missing
     * changes are requested. Otherwise the heartbeat confirms the configuration of this process,
     * provided that the peer's own configuration was confirmed recently.
     */
    void onHeartbeat(Heartbeat heartbeat, Consumer<Frame> reply) {
        long ageMillis = heartbeat.getConfigConfirmedAgeMillis();
        boolean isPeerAhead =
                ageMillis <= MAX_CONFIRMED_AGE_MILLIS
                        ? mLog.onPeerVersion(
                                heartbeat.getConfigVersion(),
                                ageMillis + MAX_HEARTBEAT_TRANSIT_MILLIS)
                        : heartbeat.getConfigVersion() > mLog.version();
        if (isPeerAhead) {
            reply.accept(
                    Frame.newBuilder()
                            .setConfigRequest(
                                    ConfigRequest.newBuilder().setAfterVersion(mLog.version()))
                            .build());
        }
    }

    /** Sends a peer the changes that it has requested, if they are still kept. */
    void onConfigRequest(ConfigRequest request, Consumer<Frame> reply) {
        changesFrame(request.getAfterVersion()).ifPresent(reply);
    }

    /** Applies the changes that a peer sent. */
    void onConfigPush(ConfigPush push) {
        List<ConfigChange> changes = new ArrayList<>();
        for (var change : push.getChangesList()) {
            changes.add(
                    new ConfigChange(
                            change.getVersion(),
                            change.getCommand(),
                            change.getOperator(),
                            change.getChangeId()));
        }
        mLog.offerChanges(changes);
    }

    /**
     * Returns a frame with the changes after a version; empty if there are none or if they are no
     * longer kept.
     */
    Optional<Frame> changesFrame(long afterVersion) {
        Optional<List<ConfigChange>> changes = mLog.changesAfter(afterVersion);
        if (changes.isEmpty() || changes.get().isEmpty()) {
            return Optional.empty();
        }
        ConfigPush.Builder push = ConfigPush.newBuilder();
        for (ConfigChange change : changes.get().stream().limit(MAX_CHANGES_PER_PUSH).toList()) {
            push.addChanges(
                    org.oleandertrack.protocol.message.ConfigChange.newBuilder()
                            .setVersion(change.version())
                            .setCommand(change.command())
                            .setOperator(change.operator())
                            .setChangeId(change.changeId()));
        }
        return Optional.of(Frame.newBuilder().setConfigPush(push).build());
    }
}
