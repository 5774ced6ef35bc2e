package org.oleandertrack.server.entry;

import java.nio.charset.StandardCharsets;
import org.oleandertrack.command.CommandParser;
import org.oleandertrack.command.ConfigReducer;
import org.oleandertrack.coordination.config.ConfigChange;
import org.oleandertrack.coordination.config.ConfigSnapshot;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.result.ResultException;
import org.tinylog.Logger;

/** Applies the changes of the configuration log to the configuration. Thread safe. */
final class ConfigStateMachine implements org.oleandertrack.coordination.config.ConfigReplica {

    private final CommandParser mParser = new CommandParser();
    private final ConfigReducer mReducer = new ConfigReducer();
    private final org.oleandertrack.command.ConfigStateCodec mStateCodec =
            new org.oleandertrack.command.ConfigStateCodec();
    private volatile ConfigState mState = ConfigState.initial();

    /** Applies a change. Every process skips a change that the current state does not allow. */
    @Override
    public void apply(ConfigChange change) {
        ConfigState before = mState;
        try {
            mState =
                    mReducer.apply(before, mParser.parseConfigCommand(change.command()))
                            .withVersion(change.version());
        } catch (ResultException e) {
            Logger.warn(
                    "configuration change {} is not allowed and has no effect: {}: {}",
                    change.version(),
                    change.command(),
                    e.getMessage());
            mState = before.withVersion(change.version());
        }
        Logger.info(
                "configuration version {} in force: {} (operator {})",
                change.version(),
                change.command(),
                change.operator());
    }

    @Override
    public byte[] encode() {
        return mStateCodec.encode(mState).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(ConfigSnapshot snapshot) {
        mState =
                mStateCodec
                        .decode(new String(snapshot.data(), StandardCharsets.UTF_8))
                        .withVersion(snapshot.version());
    }

    ConfigState state() {
        return mState;
    }
}
