package org.oleandertrack.server.entry;

import org.oleandertrack.core.config.ConfigState;

/** The configuration in force in this process. Thread safe. */
interface ConfigSource {

    /** Returns the configuration of the latest version known here. */
    ConfigState state();

    /** Tells whether the version was confirmed recently enough to admit new programs. */
    boolean isCurrent();

    /** Returns the time since the version was last confirmed. */
    long confirmedAgeMillis();
}
