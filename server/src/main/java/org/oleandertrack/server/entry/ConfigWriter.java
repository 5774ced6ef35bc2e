package org.oleandertrack.server.entry;

import org.oleandertrack.command.ConfigCommand;

/** Changes the configuration. Thread safe. */
interface ConfigWriter {

    /**
     * Commits a change of the configuration. Blocks.
     *
     * @return the version of the changed configuration
     * @throws org.oleandertrack.core.result.ResultException with {@code VERSION_CONFLICT} if
     *     another change was committed first, with {@code STORE_UNAVAILABLE} if the change was not
     *     committed, or with {@code CHANGE_OUTCOME_UNKNOWN}
     */
    long change(ConfigCommand command, String operator);
}
