package org.oleandertrack.coordination.quarantine;

import java.util.Set;

/** The other hosts, which learn of suspects directly while the store does not take them. */
@FunctionalInterface
public interface QuarantinePeers {

    /** Reports to all hosts that targets crashed when they began to run a request. */
    void report(String requestKey, Set<String> targetIds);
}
