package org.oleandertrack.core.organisation.limit;

import java.util.OptionalLong;

/**
 * Request of a host for the permit to send one request of an organisation.
 *
 * @param organisation name of the organisation
 * @param program key of the request's program; empty if it belongs to none
 * @param programAdmitted whether the asking host knows that the program has been admitted, for an
 *     issuer that does not because another one admitted it
 * @param otherIssuerAgeMillis time since the asking host last got a permit for the organisation
 *     from another issuer; empty if it got none within the last 10 s
 * @param returnedPermits number of permits of this issuer whose requests were not sent
 * @param knownPrograms the last {@link IssueResult.Programs#count()} that this issuer stated
 */
public record IssueRequest(
        String organisation,
        OptionalLong program,
        boolean programAdmitted,
        OptionalLong otherIssuerAgeMillis,
        int returnedPermits,
        long knownPrograms) {}
