package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.function.Supplier;
import org.oleandertrack.core.organisation.CallerIdentity;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultException;

/**
 * The caller of an admitted call.
 *
 * @param identity what is known about the caller
 * @param refusal returns the reason if the call must not be sent any more
 * @param giveBackPermit gives back the permit of the organisation's limit
 */
record AdmittedCaller(
        CallerIdentity identity,
        Supplier<Optional<ResultException>> refusal,
        Runnable giveBackPermit) {

    /** Returns a caller that is neither checked again nor limited. */
    static AdmittedCaller withoutConditions(CallerIdentity identity) {
        return new AdmittedCaller(identity, Optional::empty, () -> {});
    }

    /** Gives back the permit if the call has failed without having been run. */
    void onFailure(ResultException failure) {
        if (failure.execution() == Execution.NOT_RUN) {
            giveBackPermit.run();
        }
    }
}
