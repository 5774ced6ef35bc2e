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
 * The configuration of this process: read from the log in the store, passed on between peers, and
 * changed by operators. Thread safe.
 */
final class ConfigService implements ConfigSource, ConfigWriter {

    /** A configuration that was not confirmed for longer may have been replaced elsewhere. */
    private static final long MAX_AGE_MILLIS = 4_000;

    /** Longer than a heartbeat may be under way on a connection that is not given up. */
    private static final long HEARTBEAT_MILLIS = 500;

    private static final long APPEND_MILLIS = 5_000;
    private static final int MAX_CHANGES_PER_PUSH = 256;

    private final ConfigLog mLog;
    private final FoldedConfig mFolded;
    private final ConfigReducer mReducer = new ConfigReducer();
    private final StatementFormat mFormat = new StatementFormat();
    private final LongSupplier mNanoClock;

    ConfigService(ConfigLog log, FoldedConfig folded, LongSupplier nanoClock) {
        mLog = log;
        mFolded = folded;
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
        return mFolded.state();
    }

    @Override
    public boolean isCurrent() {
        return mLog.confirmedAgeMillis() <= MAX_AGE_MILLIS;
    }

    @Override
    public long confirmedAgeMillis() {
        return mLog.confirmedAgeMillis();
    }

    // Operations: operators

    @Override
    public long change(ConfigCommand command, String operator) {
        ConfigState before = mFolded.state();
        // Refuses what the present state does not allow before anything is written.
        mReducer.apply(before, command);
        long replaced = command.replacing().orElse(before.version());
        AppendOutcome outcome;
        try {
            outcome =
                    mLog.append(
                                    replaced,
                                    mFormat.format(command),
                                    operator,
                                    UUID.randomUUID().toString(),
                                    Deadlines.after(mNanoClock.getAsLong(), APPEND_MILLIS))
                            .join();
        } catch (CompletionException e) {
            throw new ResultException(
                    ResultCode.STORE_UNAVAILABLE,
                    "the change was not made: " + e.getCause().getMessage());
        }
        return switch (outcome) {
            case AppendOutcome.Accepted accepted -> accepted.version();
            case AppendOutcome.Conflict conflict ->
                    throw new ResultException(
                            ResultCode.VERSION_CONFLICT,
                            "the configuration is at version "
                                    + conflict.winningVersion()
                                    + ", the command replaces version "
                                    + replaced);
            case AppendOutcome.Unknown unknown ->
                    throw new ResultException(
                            ResultCode.CHANGE_OUTCOME_UNKNOWN,
                            ResultCode.CHANGE_OUTCOME_UNKNOWN.summary());
        };
    }

    // Operations: peers

    /** Takes a peer's version; asks for its changes if it has newer ones. */
    void heartbeat(Heartbeat heartbeat, Consumer<Frame> reply) {
        long age = heartbeat.getConfigConfirmedAgeMillis();
        boolean peerIsAhead =
                age <= MAX_AGE_MILLIS
                        ? mLog.confirmByPeer(heartbeat.getConfigVersion(), age + HEARTBEAT_MILLIS)
                        : heartbeat.getConfigVersion() > mLog.version();
        if (peerIsAhead) {
            reply.accept(
                    Frame.newBuilder()
                            .setConfigRequest(
                                    ConfigRequest.newBuilder().setAfterVersion(mLog.version()))
                            .build());
        }
    }

    /** Answers a peer that lacks changes. */
    void request(ConfigRequest request, Consumer<Frame> reply) {
        push(request.getAfterVersion()).ifPresent(reply);
    }

    /** Takes the changes that a peer sent. */
    void push(ConfigPush push) {
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

    /** Returns the changes after a version, if they are still kept. */
    Optional<Frame> push(long afterVersion) {
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
