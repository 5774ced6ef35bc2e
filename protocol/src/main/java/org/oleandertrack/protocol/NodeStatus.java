package org.oleandertrack.protocol;

import org.oleandertrack.protocol.message.Load;

/**
 * Status that this process reports in heartbeats; its load is also reported at the end of calls.
 * Immutable.
 *
 * @param load current load of this process
 * @param configVersion version of the configuration in force in this process
 * @param configConfirmedAgeMillis milliseconds since the configuration was last confirmed as
 *     current
 * @param leaving true if the process accepts no new calls
 */
public record NodeStatus(
        Load load, long configVersion, long configConfirmedAgeMillis, boolean leaving) {

    /** Returns a status with no load and configuration version 0. */
    public static NodeStatus empty() {
        return new NodeStatus(Load.getDefaultInstance(), 0, 0, false);
    }
}
