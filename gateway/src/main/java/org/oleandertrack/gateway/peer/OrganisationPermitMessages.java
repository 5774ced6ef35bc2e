package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.organisation.limit.DenialReason;
import org.oleandertrack.core.organisation.limit.IssueRequest;
import org.oleandertrack.core.organisation.limit.IssueResult;
import org.oleandertrack.gateway.organisation.PermitAnswer;
import org.oleandertrack.gateway.organisation.PermitCall;

/** Calls between peers about permits of organisations, whose bodies are encoded as JSON. */
final class OrganisationPermitMessages {

    static final String TAKE_PATH = "/organisation-permits";
    static final String REACH_PATH = "/organisation-permits/reach";

    private OrganisationPermitMessages() {}

    /** Request to show that the peer responds. */
    record Reach() {}

    /** Response to a {@link Reach}. */
    record Reached(boolean reached) {}

    /**
     * Request for a permit.
     *
     * @param program key of the program; null if the request belongs to none
     * @param otherIssuerAgeMillis null if no other issuer is known
     * @param relayTo the host to which the peer is to pass the request; null if it is to decide
     */
    record Take(
            String organisation,
            Long program,
            boolean programAdmitted,
            Long otherIssuerAgeMillis,
            int returnedPermits,
            long knownPrograms,
            long configVersion,
            boolean forwarded,
            String relayTo) {

        Take {
            Objects.requireNonNull(organisation, "organisation is missing");
            if (returnedPermits < 0 || knownPrograms < 0) {
                throw new IllegalArgumentException("negative number of permits or programs");
            }
            if (otherIssuerAgeMillis != null && otherIssuerAgeMillis < 0) {
                throw new IllegalArgumentException("negative age: " + otherIssuerAgeMillis);
            }
        }

        static Take of(PermitCall call) {
            IssueRequest request = call.request();
            return new Take(
                    request.organisation(),
                    orNull(request.program()),
                    request.programAdmitted(),
                    orNull(request.otherIssuerAgeMillis()),
                    request.returnedPermits(),
                    request.knownPrograms(),
                    call.configVersion(),
                    call.forwarded(),
                    call.relayTo().orElse(null));
        }

        PermitCall toPermitCall() {
            return new PermitCall(
                    new IssueRequest(
                            organisation,
                            orEmpty(program),
                            programAdmitted,
                            orEmpty(otherIssuerAgeMillis),
                            returnedPermits,
                            knownPrograms),
                    configVersion,
                    forwarded,
                    Optional.ofNullable(relayTo));
        }

        private static Long orNull(OptionalLong value) {
            return value.isPresent() ? (Long) value.getAsLong() : null;
        }

        private static OptionalLong orEmpty(Long value) {
            return value == null ? OptionalLong.empty() : OptionalLong.of(value);
        }
    }

    /**
     * Response to a {@link Take}.
     *
     * @param reason why no permit was granted; null if one was
     * @param programs keys of programs that the asking host may not know; null if there are none
     */
    record Decision(
            DenialReason reason,
            double level,
            long waitMillis,
            long retryMillis,
            List<Long> programs,
            long programCount,
            String issuer,
            int rank,
            long configVersion) {

        Decision {
            Objects.requireNonNull(issuer, "issuer is missing");
        }

        static Decision of(PermitAnswer answer) {
            return switch (answer.result()) {
                case IssueResult.Granted granted ->
                        new Decision(
                                null,
                                0,
                                0,
                                0,
                                null,
                                0,
                                answer.issuer(),
                                answer.rank(),
                                answer.configVersion());
                case IssueResult.Denied denied ->
                        new Decision(
                                denied.reason(),
                                denied.level(),
                                denied.waitMillis(),
                                denied.retryMillis(),
                                denied.programs().keys(),
                                denied.programs().count(),
                                answer.issuer(),
                                answer.rank(),
                                answer.configVersion());
            };
        }

        PermitAnswer toPermitAnswer() {
            return new PermitAnswer(toResult(), issuer, rank, configVersion);
        }

        private IssueResult toResult() {
            return reason == null
                    ? new IssueResult.Granted()
                    : new IssueResult.Denied(
                            reason,
                            level,
                            waitMillis,
                            retryMillis,
                            new IssueResult.Programs(
                                    programs == null ? List.of() : programs, programCount));
        }
    }
}
