package org.oleandertrack.gateway.organisation;

import java.util.Optional;
import org.oleandertrack.core.organisation.limit.IssueRequest;

/**
 * A request for a permit as it is sent to a host.
 *
 * @param configVersion version of the asking host's configuration, for the log
 * @param forwarded whether the receiver is to decide itself, because another candidate forwards the
 *     request
 * @param relayTo the host to which the receiver is to pass the request; empty if it is to decide
 */
public record PermitCall(
        IssueRequest request, long configVersion, boolean forwarded, Optional<String> relayTo) {

    static PermitCall of(IssueRequest request, long configVersion) {
        return new PermitCall(request, configVersion, false, Optional.empty());
    }

    PermitCall forward() {
        return new PermitCall(request, configVersion, true, Optional.empty());
    }

    PermitCall relay(String host) {
        return new PermitCall(request, configVersion, true, Optional.of(host));
    }
}
