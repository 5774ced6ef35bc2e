package org.oleandertrack.gateway.targets;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.LoadFigures;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TargetState;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.core.turn.TurnRequest;

/** The targets of one service, guarded by one lock. Thread-safe. */
final class ServiceTargets {

    // Above this part of its slots a target may well make a request wait.
    private static final double ROOM_PART = 0.75;

    private final Map<String, TargetHandle> mHandles = new LinkedHashMap<>();
    private final List<TargetState> mStates = new ArrayList<>();

    synchronized void add(TargetRecord record, long memoryTokens) {
        TargetState state =
                new TargetState(
                        record.id(), record.zone(), Math.max(1, record.slots()), memoryTokens);
        InetSocketAddress remote = new InetSocketAddress(record.host(), record.port());
        TargetHandle handle = new TargetHandle(record, state, new TargetConnections(remote));
        TargetHandle old = mHandles.put(record.id(), handle);
        if (old != null) {
            mStates.remove(old.state());
            old.markRemoved();
            old.connections().closeIdle();
        }
        mStates.add(state);
    }

    synchronized void remove(String id) {
        TargetHandle handle = mHandles.remove(id);
        if (handle != null) {
            mStates.remove(handle.state());
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
            CallPlacement placement, Set<String> excluded, long nowNanos) {
        return placement.choose(mStates, excluded, nowNanos).map(this::sent);
    }

    synchronized void sentAgain(TargetHandle handle) {
        handle.state().load().sent();
    }

    synchronized void ended(TargetHandle handle) {
        handle.state().load().ended();
    }

    synchronized void reported(TargetHandle handle, LoadFigures figures, long nowNanos) {
        handle.state().load().reported(figures, nowNanos);
        handle.state().succeeded();
    }

    synchronized void slownessSeen(TargetHandle handle, double slowness, long nowNanos) {
        handle.state().load().slownessSeen(slowness, nowNanos);
    }

    synchronized boolean hasRoom(TargetHandle handle, long nowNanos) {
        return handle.state().load().requests(nowNanos) < handle.state().slots() * ROOM_PART;
    }

    synchronized void avoid(TargetHandle handle, long untilNanos) {
        handle.state().avoid(untilNanos);
    }

    private PlacedTarget sent(PlacementChoice choice) {
        TargetHandle handle = mHandles.get(choice.targetId());
        handle.state().load().sent();
        return new PlacedTarget(handle, choice);
    }
}
