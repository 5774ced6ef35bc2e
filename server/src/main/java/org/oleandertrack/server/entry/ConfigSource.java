package org.oleandertrack.server.entry;

import org.oleandertrack.core.config.ConfigState;

/** The configuration in force in this process. Thread safe. */
interface ConfigSource {

    /** Returns the configuration of the latest version known here. */
    ConfigState state();

    /** Tells whether the configuration was confirmed recently enough to start new work. */
    boolean isCurrent();

    /**
     * Returns the time since the configuration was last confirmed as the latest, in milliseconds.
     */
    long confirmedAgeMillis();
}
