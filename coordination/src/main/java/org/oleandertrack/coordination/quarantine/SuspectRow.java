package org.oleandertrack.coordination.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * Value of the row of a request that is suspected to crash targets.
 *
 * @param targetIds incarnations of targets that crashed when they began to run the request
 * @param expiresMillis wall-clock time at which the request is no suspect any more
 */
record SuspectRow(List<String> targetIds, long expiresMillis) {

    SuspectRow {
        Objects.requireNonNull(targetIds, "targetIds is missing");
    }
}
