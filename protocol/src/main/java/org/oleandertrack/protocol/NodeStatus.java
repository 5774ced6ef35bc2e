package org.oleandertrack.protocol;

import org.oleandertrack.protocol.message.Load;

/**
 * What this process reports of itself in heartbeats and at the end of calls. Immutable.
 *
 * @param load load at this moment
 * @param configVersion version of the configuration in force here
 * @param configConfirmedAgeMillis time since the configuration was last confirmed as current
 * @param leaving true if the process takes no new calls
 */
public record NodeStatus(
        Load load, long configVersion, long configConfirmedAgeMillis, boolean leaving) {

    /** Returns the status of a process without load and without a configuration. */
    public static NodeStatus empty() {
        return new NodeStatus(Load.getDefaultInstance(), 0, 0, false);
    }
}
