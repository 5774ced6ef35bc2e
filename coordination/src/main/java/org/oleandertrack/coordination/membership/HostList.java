package org.oleandertrack.coordination.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts, which is updated some time after a host changes. Thread safe. */
public interface HostList {

    /** Reads the list; the future fails if the platform does not answer. */
    CompletableFuture<List<HostEntry>> list();
}
