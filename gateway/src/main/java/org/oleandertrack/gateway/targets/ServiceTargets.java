package org.oleandertrack.gateway.targets;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.health.HealthConfig;
import org.oleandertrack.core.health.HealthTracker;
import org.oleandertrack.core.placement.TargetAssessment;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.LoadFigures;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.ServiceLoad;
import org.oleandertrack.core.turn.TargetState;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.core.turn.TurnRequest;

/** The targets of one service, guarded by one lock. Thread-safe. */
final class ServiceTargets {

    // Above this part of its slots a target may well make a request wait.
    private static final double ROOM_PART = 0.75;
    // If more than one target in so many fails, the fault is more likely in the network or here.
    private static final int MAX_FAILING_DIVISOR = 2;
    // Two failures in a row, or two of three. A sound target loses about one answer in twenty on
    // the users' days, a faulty one fails four requests in ten or all of them.
    private static final int FAILURES_IN_ROW = 2;
    private static final double FAILING_PART = 0.35;
    // Faults of targets last for some seconds.
    private static final long FIRST_PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_PROBE_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final Map<String, TargetHandle> mHandles = new LinkedHashMap<>();
    private final List<TargetState> mStates = new ArrayList<>();
    private final ServiceLoad mLoad = new ServiceLoad();
    private final HealthTracker mHealth =
            new HealthTracker(
                    HealthConfig.DEFAULT
                            .withFailures(FAILURES_IN_ROW, FAILING_PART)
                            .withProbes(FIRST_PROBE_NANOS, MAX_PROBE_NANOS));

    synchronized void add(TargetRecord record, long memoryTokens) {
        TargetState state =
                new TargetState(
                        record.id(),
                        record.zone(),
                        Math.max(1, record.slots()),
                        memoryTokens,
                        mLoad,
                        this::assess);
        InetSocketAddress remote = new InetSocketAddress(record.host(), record.port());
        TargetHandle handle = new TargetHandle(record, state, new TargetConnections(remote));
        TargetHandle old = mHandles.put(record.id(), handle);
        if (old != null) {
            mStates.remove(old.state());
            old.markRemoved();
            old.connections().closeIdle();
        }
        mStates.add(state);
        mHealth.remove(record.id());
        mHealth.add(record.id());
    }

    synchronized void remove(String id) {
        TargetHandle handle = mHandles.remove(id);
        if (handle != null) {
            mStates.remove(handle.state());
            mHealth.remove(id);
            handle.markRemoved();
            handle.connections().closeIdle();
        }
    }

    synchronized void setMemory(long memoryTokens) {
        mStates.forEach(state -> state.prefixes().setCapacity(memoryTokens));
    }

    synchronized int size() {
        return mHandles.size();
    }

    synchronized List<TargetRecord> records() {
        return mHandles.values().stream().map(TargetHandle::record).toList();
    }

    synchronized Optional<PlacedTarget> placeTurn(
            TurnPlacement placement, TurnRequest turn, Set<String> excluded, long nowNanos) {
        return placement
                .choose(mStates, turn, excluded, nowNanos)
                .map(
                        choice -> {
                            PlacedTarget placed = sent(choice);
                            placed.handle().state().prefixes().use(turn.parts());
                            return placed;
                        });
    }

    synchronized Optional<PlacedTarget> placeCall(
            CallPlacement placement, Set<String> excluded, boolean repeatable, long nowNanos) {
        Optional<PlacementChoice> choice =
                repeatable
                        ? Optional.empty()
                        : placement.choose(mStates, withFailing(excluded), nowNanos);
        return choice.or(() -> placement.choose(mStates, excluded, nowNanos)).map(this::sent);
    }

    synchronized void sentAgain(TargetHandle handle) {
        handle.state().load().sent();
    }

    synchronized void ended(TargetHandle handle) {
        handle.state().load().ended();
    }

    synchronized void reported(TargetHandle handle, LoadFigures figures, long nowNanos) {
        handle.noteAnswer(nowNanos);
        handle.state().load().reported(figures, nowNanos);
        handle.state().succeeded();
    }

    synchronized void slownessSeen(TargetHandle handle, double slowness, long nowNanos) {
        handle.state().load().slownessSeen(slowness, nowNanos);
    }

    synchronized void succeeded(TargetHandle handle, long durationNanos, long nowNanos) {
        handle.noteAnswer(nowNanos);
        mHealth.succeeded(handle.id(), durationNanos, nowNanos);
    }

    /**
     * Notes a failed request.
     *
     * @param silentSinceNanos when the request was sent, if it got no answer; without any other
     *     answer since then the failure counts twice
     * @return whether the target is left out because of it
     */
    synchronized boolean failed(TargetHandle handle, OptionalLong silentSinceNanos, long nowNanos) {
        boolean wasFailing = mHealth.isFailing(handle.id());
        mHealth.failed(handle.id(), nowNanos);
        if (silentSinceNanos.isPresent()
                && !handle.hasAnsweredSince(silentSinceNanos.getAsLong())) {
            mHealth.failed(handle.id(), nowNanos);
        }
        return !wasFailing && mHealth.isFailing(handle.id());
    }

    /** Notes a request whose end says nothing about the target. */
    synchronized void abandoned(TargetHandle handle) {
        mHealth.abandoned(handle.id());
    }

    synchronized boolean isFailing(TargetHandle handle) {
        return mHealth.isFailing(handle.id());
    }

    synchronized boolean hasAnsweredSince(TargetHandle handle, long sinceNanos) {
        return handle.hasAnsweredSince(sinceNanos);
    }

    synchronized boolean hasRoom(TargetHandle handle, long nowNanos) {
        return handle.state().load().requests(nowNanos) < handle.state().slots() * ROOM_PART;
    }

    synchronized void avoid(TargetHandle handle, long untilNanos) {
        handle.state().avoid(untilNanos);
    }

    private TargetAssessment assess(String id, long nowNanos) {
        return mHealth.failing() > mStates.size() / MAX_FAILING_DIVISOR
                ? TargetAssessment.HEALTHY
                : mHealth.assess(id, nowNanos);
    }

    // Only requests that may be repeated find out whether a target works again.
    private Set<String> withFailing(Set<String> excluded) {
        Set<String> all = new HashSet<>(excluded);
        mHandles.keySet().stream().filter(mHealth::isFailing).forEach(all::add);
        return all;
    }

    private PlacedTarget sent(PlacementChoice choice) {
        TargetHandle handle = mHandles.get(choice.targetId());
        handle.state().load().sent();
        mHealth.sent(handle.id());
        return new PlacedTarget(handle, choice);
    }
}
