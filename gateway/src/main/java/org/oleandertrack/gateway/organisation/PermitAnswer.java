package org.oleandertrack.gateway.organisation;

import org.oleandertrack.core.organisation.limit.IssueResult;

/**
 * Answer to a {@link PermitCall}.
 *
 * @param issuer name of the host that decided
 * @param rank position of that host in the order of the organisation's issuers, from 1; 0 for the
 *     asking host's own share
 * @param configVersion version of the configuration from which that host took the limit
 */
public record PermitAnswer(IssueResult result, String issuer, int rank, long configVersion) {}
