package org.oleandertrack.server.entry;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/** Chooses the target of an attempt and logs the choice. Thread safe. */
final class TargetSelector {

    static final long RETRY_AFTER_MILLIS = 500;

    private final HostDirectory mHosts;
    private final String mOwnZone;

    TargetSelector(HostDirectory hosts, String ownZone) {
        mHosts = hosts;
        mOwnZone = ownZone;
    }

    /** Tells whether any host, reachable or not, serves a model or provides a service. */
    boolean isKnown(String destination) {
        return mHosts.targets().stream().anyMatch(target -> target.serves(destination));
    }

    /** Returns the target for an attempt, if any can take it. */
    Optional<TargetHandle> select(
            CallerRequest request, DispatchGrant grant, Set<String> failedTargets) {
        return mHosts.targets().stream()
                .filter(TargetHandle::isAvailable)
                .filter(target -> target.serves(request.destination()))
                .filter(target -> isAllowed(grant, target))
                .filter(target -> !failedTargets.contains(target.host().hostId()))
                .min(
                        Comparator.comparingInt(TargetHandle::inFlight)
                                .thenComparing(target -> !target.zone().equals(mOwnZone))
                                .thenComparing(TargetHandle::name));
    }

    private static boolean isAllowed(DispatchGrant grant, TargetHandle target) {
        return grant.allowedTargets().isEmpty() || grant.allowedTargets().contains(target.name());
    }
}
