package org.oleandertrack.coordination.membership;

/** Kind of process that runs on a host. */
public enum HostRole {
    ENTRY,
    SIDECAR
}
