package org.oleandertrack.server.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.oleandertrack.core.placement.PlacementResult;
import org.oleandertrack.telemetry.logging.Decision;
import org.oleandertrack.telemetry.logging.DecisionKind;
import org.oleandertrack.telemetry.logging.DecisionLog;

/** The pools of targets, one for each model or service. Thread safe. */
final class TargetPools implements HostDirectory.TargetListener {

    private final Map<String, TargetPool> mPools = new ConcurrentHashMap<>();
    private final Supplier<TargetPool> mPoolFactory;
    private final DecisionLog mDecisions;

    TargetPools(Supplier<TargetPool> poolFactory, DecisionLog decisions) {
        mPoolFactory = poolFactory;
        mDecisions = decisions;
    }

    // Operations

    @Override
    public void onAvailable(TargetHandle target) {
        for (String destination : target.destinations()) {
            mPools.computeIfAbsent(destination, name -> mPoolFactory.get()).add(target);
        }
    }

    @Override
    public void onUnavailable(TargetHandle target) {
        for (String destination : target.destinations()) {
            pool(destination).ifPresent(pool -> pool.remove(target));
        }
    }

    /** Returns the pool of a model or service; empty if no target has ever served it. */
    Optional<TargetPool> pool(String destination) {
        return Optional.ofNullable(mPools.get(destination));
    }

    /** Chooses a target for the first attempt of a round and logs the decision. */
    Optional<TargetPool.Choice> choose(
            TargetPool pool,
            CallerRequest request,
            DispatchContext context,
            Set<String> excludedNodes,
            DecisionKind kind) {
        Optional<TargetPool.Choice> choice = pool.choose(request, context, excludedNodes);
        log(request, kind, choice);
        return choice;
    }

    /** Chooses a target for a hedge, if the call may be hedged now, and logs the decision. */
    Optional<TargetPool.Choice> chooseHedge(
            TargetPool pool,
            CallerRequest request,
            DispatchContext context,
            Set<String> excludedNodes,
            long lateNanos) {
        Optional<TargetPool.Choice> choice =
                pool.chooseHedge(request, context, excludedNodes, lateNanos);
        if (choice.isPresent()) {
            log(request, DecisionKind.HEDGE, choice);
        }
        return choice;
    }

    /** Forgets which targets hold the prefixes of a program that has ended. */
    void forgetProgram(CallerRequest request) {
        for (TargetPool pool : List.copyOf(mPools.values())) {
            pool.forgetProgram(TargetPool.prefixKey(request));
        }
    }

    // Helpers

    private void log(CallerRequest request, DecisionKind kind, Optional<TargetPool.Choice> choice) {
        mDecisions.write(
                new Decision(
                        kind,
                        request.organisation(),
                        request.program().orElse(""),
                        request.turn(),
                        choice.map(chosen -> chosen.target().name()).orElse(""),
                        choice.map(chosen -> chosen.target().zone()).orElse(""),
                        choice.map(chosen -> reason(chosen.placement())).orElse("no target")));
    }

    private static String reason(PlacementResult.Placed placed) {
        return placed.reason().name().toLowerCase(Locale.ROOT)
                + ", predicted "
                + placed.predicted().totalNanos() / 1_000
                + " us";
    }
}
