package org.oleandertrack.coordination.membership;

/** What runs on a host. */
public enum HostRole {
    ENTRY,
    SIDECAR
}
