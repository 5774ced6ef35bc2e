package org.oleandertrack.server.entry;

import org.oleandertrack.command.ConfigCommand;

/** Commits changes of the configuration. Thread safe. */
interface ConfigWriter {

    /**
     * Commits a change. Blocks.
     *
     * @return the version that the change made
     * @throws org.oleandertrack.core.result.ResultException with {@code VERSION_CONFLICT} and the
     *     winning version, or {@code CHANGE_OUTCOME_UNKNOWN}
     */
    long change(ConfigCommand command, String operator);
}
