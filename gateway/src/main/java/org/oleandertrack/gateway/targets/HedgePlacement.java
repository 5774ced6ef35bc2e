package org.oleandertrack.gateway.targets;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TargetState;

/** Chooses the second target of a request. */
@FunctionalInterface
interface HedgePlacement {

    /** Chooses a target that is not excluded; empty if there is none. */
    Optional<PlacementChoice> choose(List<TargetState> targets, Set<String> excludedIds);
}
