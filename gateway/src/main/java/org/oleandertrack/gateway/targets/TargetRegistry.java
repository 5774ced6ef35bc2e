package org.oleandertrack.gateway.targets;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.oleandertrack.core.discovery.RemovalReason;
import org.oleandertrack.core.discovery.TargetListener;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.health.SendPrediction;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.ReportedLoad;
import org.oleandertrack.core.turn.TurnObservation;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.telemetry.logging.EventLog;

/** All known targets, by service. Thread-safe: each service has its own lock. */
public final class TargetRegistry implements TargetListener {

    // Size of an engine's memory, assumed until the configuration states it.
    private static final long DEFAULT_MEMORY_TOKENS = 100_000;

    // Fraction of an engine's memory that holds the parts of prompts after the first one. The rest
    // holds first parts, which many programs share, and the running requests.
    private static final double LATER_PARTS_FRACTION = 0.6;

    private final TurnPlacement mTurnPlacement;
    private final CallPlacement mCallPlacement;
    private final EventLog mLog;
    private final Map<String, ServiceTargets> mServices = new ConcurrentHashMap<>();
    private volatile Map<String, ServiceSpec> mServiceSpecs = Map.of();
    private volatile int mHostCount = 1;

    /** Creates an empty registry. */
    public TargetRegistry(TurnPlacement turnPlacement, CallPlacement callPlacement, EventLog log) {
        mTurnPlacement = turnPlacement;
        mCallPlacement = callPlacement;
        mLog = log;
    }

    // Accessors

    /** Returns the number of targets of a service that may get requests. */
    public int targetCount(String service) {
        return targetsOf(service).targetCount();
    }

    /** Returns whether a target of a service with the given version may get requests. */
    public boolean hasVersion(String service, String softwareVersion) {
        return targetsOf(service).hasVersion(softwareVersion);
    }

    // Operations

    /** Applies the services of a new configuration. */
    public void configure(TrafficConfig config) {
        mServiceSpecs = config.services();
        resizePrefixCaches();
    }

    /** Sets the number of hosts that share the targets, including this host. */
    public void setHostCount(int hostCount) {
        if (hostCount != mHostCount) {
            mHostCount = hostCount;
            resizePrefixCaches();
        }
    }

    @Override
    public void onAdded(TargetRecord target) {
        targetsOf(target.service()).add(target, prefixCacheTokensOfThisHost(target.service()));
        logTarget("target added", target, "");
    }

    @Override
    public void onChanged(TargetRecord target) {
        logTarget("target changed", target, "");
    }

    @Override
    public void onRemoved(TargetRecord target, RemovalReason reason) {
        targetsOf(target.service()).remove(target.id(), reason.isAnnounced());
        logTarget("target removed", target, reason.text());
    }

    /** Chooses a target for a turn and counts the turn in the target's load. */
    public Optional<PlacedTarget> placeTurn(
            String service, TurnRequest turn, TargetFilter filter, long nowNanos) {
        return targetsOf(service).placeTurn(mTurnPlacement, turn, filter, nowNanos);
    }

    /**
     * Chooses a target for a call that is not a turn and counts the call in the target's load.
     *
     * @param repeatable whether the call may be sent to a failing target to probe whether it has
     *     recovered
     */
    public Optional<PlacedTarget> placeCall(
            String service, TargetFilter filter, boolean repeatable, long nowNanos) {
        return targetsOf(service).placeCall(mCallPlacement, filter, repeatable, nowNanos);
    }

    /**
     * Chooses a second target for a request that another target is late with, and counts it in the
     * target's load. Targets that are failing, avoided, nearly full or limit their rate get none.
     *
     * @param turn the turn if the request is one for a model engine
     */
    public Optional<PlacedTarget> placeHedge(
            TargetHandle first, Optional<TurnRequest> turn, TargetFilter filter, long nowNanos) {
        HedgePlacement placement =
                (states, excluded) ->
                        turn.isPresent()
                                ? mTurnPlacement.choose(states, turn.get(), excluded, nowNanos)
                                : mCallPlacement.choose(states, excluded, nowNanos);
        return targetsOf(first.record().service())
                .placeHedge(
                        placement,
                        filter.withExcluded(Set.of(first.id())),
                        first.record().zone(),
                        nowNanos);
    }

    /** Returns whether the targets of a service have too few free slots for extra requests. */
    public boolean isNearlyFull(String service, long nowNanos) {
        return targetsOf(service).isNearlyFull(nowNanos);
    }

    /** Predicts the time until the response to a request begins that is sent as chosen. */
    public SendPrediction predictSend(Optional<TurnRequest> turn, PlacementChoice choice) {
        return turn.isPresent()
                ? SendPrediction.ofMillis(choice.firstEventMillis())
                : SendPrediction.ofFactor(choice.predictedCost());
    }

    /** Takes back a placement, because the request is not sent to the target. */
    public void withdraw(TargetHandle handle) {
        targetsOf(handle.record().service()).withdraw(handle);
    }

    /**
     * Records that the turn's prompt will be cached by a target, because the turn is sent to it.
     */
    public void recordPrefill(TargetHandle handle, TurnRequest turn) {
        targetsOf(handle.record().service()).recordPrefill(handle, turn);
    }

    /**
     * Returns the request for a permit to send to a target; empty if the target does not limit its
     * rate.
     */
    public Optional<PermitRequest> makePermitRequest(
            TargetHandle handle, long maxWaitMillis, long nowNanos) {
        return targetsOf(handle.record().service())
                .makePermitRequest(handle, maxWaitMillis, nowNanos);
    }

    /**
     * Returns whether a placed target has taken over so many requests of targets that limit their
     * rate that it must get no more.
     */
    public boolean isOverrun(TargetHandle handle, long nowNanos) {
        return targetsOf(handle.record().service()).isOverrun(handle, nowNanos);
    }

    /** Returns the expected wait for a permit to send to a target, in milliseconds. */
    public long permitWaitMillis(TargetHandle handle, long nowNanos) {
        return targetsOf(handle.record().service()).permitWaitMillis(handle, nowNanos);
    }

    /** Records that a request was permitted to be sent to a target after the given wait. */
    public void recordPermit(TargetHandle handle, long waitMillis, long nowNanos) {
        targetsOf(handle.record().service()).recordPermit(handle, waitMillis, nowNanos);
    }

    /** Records that a request would have had to wait for the given time to be permitted. */
    public void recordDeniedPermit(TargetHandle handle, long waitMillis, long nowNanos) {
        targetsOf(handle.record().service()).recordDeniedPermit(handle, waitMillis, nowNanos);
    }

    /** Counts a request that is sent to the same target again. */
    public void recordResend(TargetHandle handle) {
        targetsOf(handle.record().service()).recordResend(handle);
    }

    /** Records that a request at a target has ended, whatever its outcome. */
    public void recordEnd(TargetHandle handle) {
        targetsOf(handle.record().service()).recordEnd(handle);
    }

    /** Records the load that a target reports in a response. */
    public void recordLoad(TargetHandle handle, ReportedLoad reportedLoad, long nowNanos) {
        targetsOf(handle.record().service()).recordLoad(handle, reportedLoad, nowNanos);
    }

    /**
     * Records the limit on the requests of all hosts that a target states in a response, or that it
     * states none.
     */
    public void recordRateLimit(
            TargetHandle handle, OptionalDouble requestsPerSecond, long nowNanos) {
        OptionalDouble previous =
                targetsOf(handle.record().service())
                        .replaceRateLimit(handle, requestsPerSecond, nowNanos);
        if (previous.equals(requestsPerSecond)) {
            return;
        }
        mLog.notice(requestsPerSecond.isPresent() ? "target limited" : "target limit lifted")
                .text("target", handle.id())
                .text("service", handle.record().service())
                .decimal("requestsPerSecond", requestsPerSecond.orElse(0))
                .decimal("previousRequestsPerSecond", previous.orElse(0))
                .write();
    }

    /** Learns from the times of a turn at an engine. */
    public void recordTurnTimes(TargetHandle handle, TurnObservation turn, long nowNanos) {
        String service = handle.record().service();
        int tokensPerEvent =
                engineOf(service).map(EngineSpec::tokensPerEvent).filter(n -> n > 0).orElse(1);
        targetsOf(service).recordTurnTimes(handle, turn, tokensPerEvent, nowNanos);
    }

    /** Learns from the response time of a target that is not an engine. */
    public void recordCallTime(
            TargetHandle handle, String route, double millis, ReportedLoad load, long nowNanos) {
        targetsOf(handle.record().service()).recordCallTime(handle, route, millis, load, nowNanos);
    }

    /**
     * Returns the predicted response time of a target that is not an engine, in milliseconds; empty
     * if no response on the route has been observed.
     */
    public OptionalDouble predictCallMillis(TargetHandle handle, String route, long nowNanos) {
        return targetsOf(handle.record().service()).predictCallMillis(handle, route, nowNanos);
    }

    /** Returns whether a target has free slots according to this host's estimate of its load. */
    public boolean hasRoom(TargetHandle handle, long nowNanos) {
        return targetsOf(handle.record().service()).hasRoom(handle, nowNanos);
    }

    /** Records a complete response that reports no failure of the target. */
    public void recordSuccess(TargetHandle handle, long durationNanos, long nowNanos) {
        targetsOf(handle.record().service()).recordSuccess(handle, durationNanos, nowNanos);
    }

    /** Records a request whose connection or response failed. */
    public void recordFailure(TargetHandle handle, String reason, long nowNanos) {
        recordFailure(handle, OptionalLong.empty(), reason, nowNanos);
    }

    /**
     * Records a request without a response of the target. This counts as two failures if the target
     * has not responded to any other request since this one was sent.
     *
     * @param sentNanos when the request was sent
     */
    public void recordNoResponse(TargetHandle handle, long sentNanos, long nowNanos) {
        recordFailure(handle, OptionalLong.of(sentNanos), "silent", nowNanos);
    }

    /** Records the end of a request that gives no evidence of the target's health. */
    public void recordAbandoned(TargetHandle handle) {
        targetsOf(handle.record().service()).recordAbandoned(handle);
    }

    /** Returns whether a target has failed so often that others are preferred. */
    public boolean isFailing(TargetHandle handle) {
        return targetsOf(handle.record().service()).isFailing(handle);
    }

    /** Returns the number of requests of this host that have stalled since the last response. */
    public int unansweredRequests(TargetHandle handle) {
        return targetsOf(handle.record().service()).unansweredRequests(handle);
    }

    /** Returns whether a target has responded to any request of this host since the given time. */
    public boolean hasRespondedSince(TargetHandle handle, long sinceNanos) {
        return targetsOf(handle.record().service()).hasRespondedSince(handle, sinceNanos);
    }

    /** Makes placement prefer other targets until the given time. */
    public void avoid(TargetHandle handle, long untilNanos) {
        targetsOf(handle.record().service()).avoid(handle, untilNanos);
    }

    // Helpers

    private void recordFailure(
            TargetHandle handle, OptionalLong noResponseSinceNanos, String reason, long nowNanos) {
        ServiceTargets targets = targetsOf(handle.record().service());
        if (targets.recordFailure(handle, noResponseSinceNanos, nowNanos)) {
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

    private Optional<EngineSpec> engineOf(String service) {
        return Optional.ofNullable(mServiceSpecs.get(service)).flatMap(ServiceSpec::engine);
    }

    private void resizePrefixCaches() {
        mServices.forEach(
                (name, targets) -> targets.setPrefixCacheTokens(prefixCacheTokensOfThisHost(name)));
    }

    // Returns this host's share of an engine's memory: a host knows only its own turns, and the
    // turns of the other hosts use the same memory.
    private long prefixCacheTokensOfThisHost(String service) {
        long tokens = engineOf(service).map(EngineSpec::memoryTokens).orElse(DEFAULT_MEMORY_TOKENS);
        return (long) (tokens * LATER_PARTS_FRACTION / Math.max(1, mHostCount));
    }

    private void logTarget(String event, TargetRecord target, String reason) {
        mLog.notice(event)
                .text("target", target.id())
                .text("service", target.service())
                .text("address", target.host() + ":" + target.port())
                .text("zone", target.zone())
                .text("version", target.softwareVersion())
                .text("reason", reason)
                .write();
    }
}
