package org.oleandertrack.core.discovery;

import java.util.OptionalLong;

/**
 * What a target says of itself in the store.
 *
 * @param id identifier of this incarnation, or of several if a target keeps it over a restart
 * @param service service to which it belongs
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param draining whether it is about to leave and takes no new work
 * @param slots requests that it runs at once
 * @param startedAtMillis wall time of its start, if it says so; tells two incarnations apart
 */
public record TargetRecord(
        String id,
        String service,
        String host,
        int port,
        String zone,
        boolean draining,
        int slots,
        OptionalLong startedAtMillis) {

    /** Returns whether another record of the same id belongs to the same running process. */
    public boolean isSameIncarnation(TargetRecord other) {
        return host.equals(other.host)
                && port == other.port
                && service.equals(other.service)
                && startedAtMillis.equals(other.startedAtMillis);
    }
}
