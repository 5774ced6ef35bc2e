package org.oleandertrack.gateway.targets;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.oleandertrack.core.discovery.TargetListener;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.LoadFigures;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.telemetry.logging.EventLog;

/** All targets by service. Thread-safe: each service has its own lock. */
public final class TargetRegistry implements TargetListener {

    // Assumed until the configuration says how much an engine's memory holds.
    private static final long DEFAULT_MEMORY_TOKENS = 100_000;

    // The rest holds shared first parts and the requests that run.
    private static final double HISTORY_PART = 0.6;

    private final TurnPlacement mTurnPlacement;
    private final CallPlacement mCallPlacement;
    private final EventLog mLog;
    private final Map<String, ServiceTargets> mServices = new ConcurrentHashMap<>();
    private volatile Map<String, ServiceSpec> mSpecs = Map.of();
    private volatile int mHosts = 1;

    /** Creates a registry without targets. */
    public TargetRegistry(TurnPlacement turnPlacement, CallPlacement callPlacement, EventLog log) {
        mTurnPlacement = turnPlacement;
        mCallPlacement = callPlacement;
        mLog = log;
    }

    // Accessors

    /** Returns the number of targets of a service that may get work. */
    public int size(String service) {
        return targetsOf(service).size();
    }

    // Operations

    /** Takes what a new configuration says about services. */
    public void configure(TrafficConfig config) {
        mSpecs = config.services();
        resizeMemories();
    }

    /** Takes the number of hosts that use the targets, this one included. */
    public void setHosts(int hosts) {
        if (hosts != mHosts) {
            mHosts = hosts;
            resizeMemories();
        }
    }

    @Override
    public void added(TargetRecord target) {
        targetsOf(target.service()).add(target, memoryTokens(target.service()));
        log("target added", target, "");
    }

    @Override
    public void changed(TargetRecord target) {
        log("target changed", target, "");
    }

    @Override
    public void removed(TargetRecord target, String reason) {
        targetsOf(target.service()).remove(target.id());
        log("target removed", target, reason);
    }

    /** Chooses the engine of a turn and counts the turn there. */
    public Optional<PlacedTarget> placeTurn(
            String service, TurnRequest turn, Set<String> excluded, long nowNanos) {
        return targetsOf(service).placeTurn(mTurnPlacement, turn, excluded, nowNanos);
    }

    /**
     * Chooses the target of a call to a plain service and counts the call there.
     *
     * @param repeatable whether the call may find out if a target that failed works again
     */
    public Optional<PlacedTarget> placeCall(
            String service, Set<String> excluded, boolean repeatable, long nowNanos) {
        return targetsOf(service).placeCall(mCallPlacement, excluded, repeatable, nowNanos);
    }

    /** Counts a request that is sent to the same target once more. */
    public void sentAgain(TargetHandle handle) {
        targetsOf(handle.record().service()).sentAgain(handle);
    }

    /** Notes that a request at a target has ended. */
    public void ended(TargetHandle handle) {
        targetsOf(handle.record().service()).ended(handle);
    }

    /** Takes the load that a target states. */
    public void reported(TargetHandle handle, LoadFigures figures, long nowNanos) {
        targetsOf(handle.record().service()).reported(handle, figures, nowNanos);
    }

    /** Returns whether a target has slots free, as far as this host knows. */
    public boolean hasRoom(TargetHandle handle, long nowNanos) {
        return targetsOf(handle.record().service()).hasRoom(handle, nowNanos);
    }

    /** Notes an answer that was complete and no failure of the target. */
    public void succeeded(TargetHandle handle, long durationNanos, long nowNanos) {
        targetsOf(handle.record().service()).succeeded(handle, durationNanos, nowNanos);
    }

    /** Notes a request whose connection or answer failed. */
    public void failed(TargetHandle handle, String reason, long nowNanos) {
        failed(handle, OptionalLong.empty(), reason, nowNanos);
    }

    /**
     * Notes a request that got no answer. If no other request was answered meanwhile, that counts
     * twice.
     *
     * @param sentNanos when the request was sent
     */
    public void silent(TargetHandle handle, long sentNanos, long nowNanos) {
        failed(handle, OptionalLong.of(sentNanos), "silent", nowNanos);
    }

    /** Notes a request whose end says nothing about the target. */
    public void abandoned(TargetHandle handle) {
        targetsOf(handle.record().service()).abandoned(handle);
    }

    /** Returns whether a target gets no requests while others are left. */
    public boolean isFailing(TargetHandle handle) {
        return targetsOf(handle.record().service()).isFailing(handle);
    }

    /** Returns whether a target has answered any request of this host since a time. */
    public boolean hasAnsweredSince(TargetHandle handle, long sinceNanos) {
        return targetsOf(handle.record().service()).hasAnsweredSince(handle, sinceNanos);
    }

    /** Prefers other targets until a time. */
    public void avoid(TargetHandle handle, long untilNanos) {
        targetsOf(handle.record().service()).avoid(handle, untilNanos);
    }

    // Helpers

    private void failed(
            TargetHandle handle, OptionalLong silentSinceNanos, String reason, long nowNanos) {
        ServiceTargets targets = targetsOf(handle.record().service());
        if (targets.failed(handle, silentSinceNanos, nowNanos)) {
            mLog.notice("target set aside")
                    .text("target", handle.id())
                    .text("service", handle.record().service())
                    .text("reason", reason)
                    .write();
        }
    }

    private ServiceTargets targetsOf(String service) {
        return mServices.computeIfAbsent(service, name -> new ServiceTargets());
    }

    private void resizeMemories() {
        mServices.forEach((name, targets) -> targets.setMemory(memoryTokens(name)));
    }

    // Each host sees only its own turns, which fill its part of an engine's memory.
    private long memoryTokens(String service) {
        long tokens =
                Optional.ofNullable(mSpecs.get(service))
                        .flatMap(ServiceSpec::engine)
                        .map(EngineSpec::memoryTokens)
                        .orElse(DEFAULT_MEMORY_TOKENS);
        return (long) (tokens * HISTORY_PART / Math.max(1, mHosts));
    }

    private void log(String event, TargetRecord target, String reason) {
        mLog.notice(event)
                .text("target", target.id())
                .text("service", target.service())
                .text("address", target.host() + ":" + target.port())
                .text("zone", target.zone())
                .text("reason", reason)
                .write();
    }
}
