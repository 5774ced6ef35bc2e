package org.oleandertrack.gateway.targets;

import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.rate.PermitResult;

/** Issues permits for requests to targets that limit the rate of all hosts together. */
@FunctionalInterface
public interface PermitIssuer {

    /** Requests a permit. The future does not fail. */
    CompletableFuture<PermitResult> take(PermitRequest request);
}
