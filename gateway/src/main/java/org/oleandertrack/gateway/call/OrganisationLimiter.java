package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.result.ResultCode;

/** Limits the requests of organisations at all hosts together. Thread-safe. */
public interface OrganisationLimiter {

    /** Limiter that admits every request. */
    OrganisationLimiter UNLIMITED =
            request -> CompletableFuture.completedFuture(new Admission.Admitted(""));

    /**
     * A request that is to be admitted.
     *
     * @param organisation the organisation as the configuration of this host has it
     * @param configVersion version of that configuration
     * @param programId id of the program to which the request belongs, as its caller states it
     * @param remainingMillis time until the caller gives up, in milliseconds
     */
    record Request(
            Organisation organisation,
            long configVersion,
            Optional<String> programId,
            long remainingMillis) {}

    /** Result of an admission. */
    sealed interface Admission {

        /**
         * The request may be sent.
         *
         * @param issuer name of the host that issued the permit; the empty string if none was
         *     needed
         */
        record Admitted(String issuer) implements Admission {}

        /**
         * The request must not be sent.
         *
         * @param code result code of the refusal
         * @param retryAfterMillis time until such a request would be admitted, in milliseconds
         */
        record Refused(ResultCode code, long retryAfterMillis, String reason)
                implements Admission {}
    }

    /** Decides about a request. Organisations without a limit are admitted at once. */
    CompletableFuture<Admission> admit(Request request);

    /** Takes back the permit of a request that was refused as not run. */
    default void giveBack(Request request, Admission.Admitted permit) {
        // A limiter may let unused permits expire.
    }
}
