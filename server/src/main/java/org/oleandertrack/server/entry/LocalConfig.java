package org.oleandertrack.server.entry;

import java.util.concurrent.locks.ReentrantLock;
import org.oleandertrack.command.ConfigCommand;
import org.oleandertrack.command.ConfigReducer;
import org.oleandertrack.core.config.ConfigState;

/** A configuration of this process alone. Thread safe. */
final class LocalConfig implements ConfigSource, ConfigWriter {

    private final ReentrantLock mLock = new ReentrantLock();
    private final ConfigReducer mReducer = new ConfigReducer();
    private volatile ConfigState mState = ConfigState.initial();

    @Override
    public ConfigState state() {
        return mState;
    }

    @Override
    public boolean isCurrent() {
        return true;
    }

    @Override
    public long confirmedAgeMillis() {
        return 0;
    }

    @Override
    public long change(ConfigCommand command, String operator) {
        mLock.lock();
        try {
            ConfigState next = mReducer.apply(mState, command);
            mState = next;
            return next.version();
        } finally {
            mLock.unlock();
        }
    }
}
