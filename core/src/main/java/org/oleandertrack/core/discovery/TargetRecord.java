package org.oleandertrack.core.discovery;

import java.util.OptionalLong;

/**
 * Entry of a target in the store, written by the target itself.
 *
 * @param id identifier of the target; a target may keep it when it restarts
 * @param service service that the target belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param softwareVersion version of the target's software; streams of two versions do not fit
 *     together
 * @param draining whether the target is about to leave and takes no new work
 * @param slots number of requests that it runs at once
 * @param startedAtMillis wall-clock time of the target's start, if the entry contains it;
 *     distinguishes incarnations with the same id
 */
public record TargetRecord(
        String id,
        String service,
        String host,
        int port,
        String zone,
        String softwareVersion,
        boolean draining,
        int slots,
        OptionalLong startedAtMillis) {

    /** Returns an id that differs between the runs of a target's process. */
    public String incarnationId() {
        return id + (startedAtMillis.isPresent() ? "@" + startedAtMillis.getAsLong() : "");
    }

    /**
     * Returns whether another record with the same id belongs to the same incarnation of the
     * target.
     */
    public boolean isSameIncarnation(TargetRecord other) {
        return host.equals(other.host)
                && port == other.port
                && service.equals(other.service)
                && softwareVersion.equals(other.softwareVersion)
                && startedAtMillis.equals(other.startedAtMillis);
    }
}
