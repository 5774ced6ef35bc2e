package org.oleandertrack.gateway.targets;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.health.HealthConfig;
import org.oleandertrack.core.health.HealthTracker;
import org.oleandertrack.core.placement.TargetAssessment;
import org.oleandertrack.core.rate.OverflowLimit;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.EngineTimes;
import org.oleandertrack.core.turn.LearnedTimes;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.ReportedLoad;
import org.oleandertrack.core.turn.ServiceLoad;
import org.oleandertrack.core.turn.TargetState;
import org.oleandertrack.core.turn.TurnObservation;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.core.turn.TurnRequest;

/**
 * The targets of one service with their load and health, as this host observes them. Thread-safe:
 * one lock guards all of them.
 */
final class ServiceTargets {

    // A request may have to wait at a target that has at least this fraction of its slots in use.
    private static final double HAS_ROOM_LOAD_FRACTION = 0.75;
    // Costs of two targets within this ratio count as equal, as in placement.
    private static final double EQUAL_COST_RATIO = 1.1;
    // If more of the targets fail than their number divided by this, the cause is more likely the
    // network or this host, so placement then treats all targets as healthy.
    private static final int MAX_FAILING_TARGETS_DIVISOR = 2;
    // A target is set aside, so that others are preferred, after two consecutive failures, or when
    // the moving average of its failures reaches 35 %, which takes about two failures in three
    // recent requests. Under the users' load, about 5 % of a healthy target's responses are lost,
    // and a faulty target fails 40 % or all of its requests.
    private static final int CONSECUTIVE_FAILURES = 2;
    private static final double FAILING_FRACTION = 0.35;
    // A failing target is probed after these delays; faults of targets last for several seconds.
    private static final long FIRST_PROBE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_PROBE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(8);

    private static final double MILLIS_PER_SECOND = 1_000;

    // Incarnations that were removed and may be added again when the store returns.
    private static final int MAX_REMEMBERED_RATES = 1_000;

    private final Map<String, StatedRate> mRatesOfRemoved =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StatedRate> eldest) {
                    return size() > MAX_REMEMBERED_RATES;
                }
            };
    private final Map<String, TargetHandle> mHandles = new LinkedHashMap<>();
    private final List<TargetState> mStates = new ArrayList<>();
    private final ServiceLoad mLoad = new ServiceLoad();
    private final LearnedTimes mTimes = new LearnedTimes(EngineTimes.DEFAULT);
    private final HealthTracker mHealth =
            new HealthTracker(
                    HealthConfig.DEFAULT
                            .withFailures(CONSECUTIVE_FAILURES, FAILING_FRACTION)
                            .withProbes(FIRST_PROBE_DELAY_NANOS, MAX_PROBE_DELAY_NANOS));

    synchronized void add(TargetRecord record, long prefixCacheTokens) {
        TargetState state =
                new TargetState(
                        record.id(),
                        record.zone(),
                        Math.max(1, record.slots()),
                        prefixCacheTokens,
                        mLoad,
                        mTimes.add(),
                        this::assess);
        InetSocketAddress remote = new InetSocketAddress(record.host(), record.port());
        TargetHandle handle = new TargetHandle(record, state, new TargetConnections(remote));
        TargetHandle replaced = mHandles.put(record.id(), handle);
        if (replaced != null) {
            mStates.remove(replaced.state());
            mTimes.remove(replaced.state().times());
            replaced.markRemoved(false);
            replaced.connections().closeIdle();
        }
        handle.setStatedRate(Optional.ofNullable(mRatesOfRemoved.remove(handle.incarnationId())));
        mStates.add(state);
        mHealth.remove(record.id());
        mHealth.add(record.id());
    }

    synchronized void remove(String id, boolean announced) {
        TargetHandle handle = mHandles.remove(id);
        if (handle != null) {
            mStates.remove(handle.state());
            mTimes.remove(handle.state().times());
            mHealth.remove(id);
            handle.statedRate()
                    .ifPresent(rate -> mRatesOfRemoved.put(handle.incarnationId(), rate));
            handle.markRemoved(announced);
            handle.connections().closeIdle();
        }
    }

    synchronized void setPrefixCacheTokens(long prefixCacheTokens) {
        mStates.forEach(state -> state.prefixCache().setCapacityTokens(prefixCacheTokens));
    }

    synchronized int targetCount() {
        return mHandles.size();
    }

    synchronized boolean hasVersion(String softwareVersion) {
        return mHandles.values().stream()
                .anyMatch(handle -> handle.record().softwareVersion().equals(softwareVersion));
    }

    synchronized List<TargetRecord> records() {
        return mHandles.values().stream().map(TargetHandle::record).toList();
    }

    synchronized Optional<PlacedTarget> placeTurn(
            TurnPlacement placement, TurnRequest turn, TargetFilter filter, long nowNanos) {
        return placement.choose(mStates, turn, rejectedIds(filter), nowNanos).map(this::recordSend);
    }

    synchronized void recordPrefill(TargetHandle handle, TurnRequest turn) {
        handle.state().prefixCache().recordPrefill(turn.parts());
    }

    synchronized void withdraw(TargetHandle handle) {
        handle.state().load().recordEnded();
        mHealth.recordAbandoned(handle.id());
    }

    synchronized Optional<PlacedTarget> placeCall(
            CallPlacement placement, TargetFilter filter, boolean repeatable, long nowNanos) {
        Set<String> excluded = rejectedIds(filter);
        Optional<PlacementChoice> choice =
                repeatable
                        ? Optional.empty()
                        : placement.choose(mStates, withFailingTargets(excluded), nowNanos);
        return choice.or(() -> placement.choose(mStates, excluded, nowNanos)).map(this::recordSend);
    }

    synchronized Optional<PlacedTarget> placeHedge(
            HedgePlacement placement, TargetFilter filter, String firstZone, long nowNanos) {
        Set<String> excluded = withFailingTargets(rejectedIds(filter));
        Set<String> inFirstZone = new HashSet<>();
        for (TargetHandle handle : mHandles.values()) {
            if (handle.statedRate().isPresent()
                    || handle.state().isAvoided(nowNanos)
                    || !hasRoom(handle, nowNanos)) {
                excluded.add(handle.id());
            }
            if (handle.record().zone().equals(firstZone)) {
                inFirstZone.add(handle.id());
            }
        }
        Optional<PlacementChoice> best = placement.choose(mStates, excluded);
        inFirstZone.addAll(excluded);
        // What slows the first target down may affect its whole zone.
        Optional<PlacementChoice> inOtherZone =
                best.flatMap(
                        choice ->
                                placement
                                        .choose(mStates, inFirstZone)
                                        .filter(
                                                other ->
                                                        other.predictedCost()
                                                                <= choice.predictedCost()
                                                                        * EQUAL_COST_RATIO));
        return inOtherZone.or(() -> best).map(this::recordSend);
    }

    synchronized boolean isNearlyFull(long nowNanos) {
        double requests = 0;
        double slots = 0;
        for (TargetState state : mStates) {
            requests += state.load().requests(nowNanos);
            slots += state.slots();
        }
        return requests >= slots * HAS_ROOM_LOAD_FRACTION;
    }

    synchronized void recordResend(TargetHandle handle) {
        handle.state().load().recordSent();
    }

    synchronized void recordEnd(TargetHandle handle) {
        handle.state().load().recordEnded();
    }

    synchronized void recordLoad(TargetHandle handle, ReportedLoad reportedLoad, long nowNanos) {
        handle.recordResponse(nowNanos);
        handle.state().load().recordReport(reportedLoad, nowNanos);
        handle.state().clearAvoidance();
    }

    /** Returns the previously stated rate. */
    synchronized OptionalDouble replaceRateLimit(
            TargetHandle handle, OptionalDouble requestsPerSecond, long nowNanos) {
        Optional<StatedRate> previous = handle.statedRate();
        if (requestsPerSecond.isPresent()) {
            handle.setStatedRate(
                    Optional.of(new StatedRate(requestsPerSecond.getAsDouble(), nowNanos)));
        } else if (previous.isPresent()) {
            handle.setStatedRate(Optional.empty());
            handle.state().clearRateLimit();
        }
        return previous.map(rate -> OptionalDouble.of(rate.requestsPerSecond()))
                .orElse(OptionalDouble.empty());
    }

    synchronized Optional<PermitRequest> makePermitRequest(
            TargetHandle handle, long maxWaitMillis, long nowNanos) {
        return handle.statedRate()
                .map(
                        rate ->
                                new PermitRequest(
                                        handle.id(),
                                        rate.requestsPerSecond(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNanos - rate.statedNanos()),
                                        maxWaitMillis));
    }

    /** Returns whether a placed target has taken over too much from targets with limited rates. */
    synchronized boolean isOverrun(TargetHandle handle, long nowNanos) {
        boolean othersAreLimited =
                handle.statedRate().isEmpty()
                        && mHandles.values().stream()
                                .anyMatch(other -> other.statedRate().isPresent());
        double earlierRequests = handle.state().load().requests(nowNanos) - 1;
        return othersAreLimited && OverflowLimit.isReached(earlierRequests, handle.state().slots());
    }

    synchronized long permitWaitMillis(TargetHandle handle, long nowNanos) {
        return handle.state().permitWaitMillis(nowNanos);
    }

    synchronized void recordPermit(TargetHandle handle, long waitMillis, long nowNanos) {
        if (waitMillis == 0 || handle.statedRate().isEmpty()) {
            return;
        }
        double intervalMillis =
                MILLIS_PER_SECOND / Math.max(1, handle.statedRate().get().requestsPerSecond());
        handle.state()
                .recordPermittedAt(
                        nowNanos
                                + TimeUnit.MILLISECONDS.toNanos(
                                        waitMillis + (long) intervalMillis));
    }

    synchronized void recordDeniedPermit(TargetHandle handle, long waitMillis, long nowNanos) {
        if (handle.statedRate().isPresent()) {
            handle.state().recordPermittedAt(nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis));
        }
    }

    synchronized void recordSlowness(TargetHandle handle, double slowness, long nowNanos) {
        handle.state().load().recordSlowness(slowness, nowNanos);
    }

    synchronized void recordTurnTimes(
            TargetHandle handle, TurnObservation turn, int tokensPerEvent, long nowNanos) {
        TargetState state = handle.state();
        mTimes.recordTurn(
                state.times(),
                turn,
                state.slots(),
                state.load().ownRequests(),
                tokensPerEvent,
                nowNanos);
    }

    synchronized void recordCallTime(
            TargetHandle handle, String route, double millis, ReportedLoad load, long nowNanos) {
        mTimes.recordCall(
                handle.state().times(), route, millis, load, handle.state().slots(), nowNanos);
    }

    synchronized OptionalDouble predictCallMillis(
            TargetHandle handle, String route, long nowNanos) {
        TargetState state = handle.state();
        OptionalDouble mean = mTimes.callMillis(route);
        return mean.isEmpty()
                ? mean
                : OptionalDouble.of(
                        mean.getAsDouble()
                                * state.times().callFactor(nowNanos)
                                * state.load().slowness(nowNanos));
    }

    synchronized void recordSuccess(TargetHandle handle, long durationNanos, long nowNanos) {
        handle.recordResponse(nowNanos);
        mHealth.recordSuccess(handle.id(), durationNanos, nowNanos);
    }

    /**
     * Records a failed request.
     *
     * @param noResponseSinceNanos when the request was sent, if the target did not respond to it;
     *     the failure counts twice if the target has not responded to any other request since then
     * @return whether this failure caused the target to be set aside
     */
    synchronized boolean recordFailure(
            TargetHandle handle, OptionalLong noResponseSinceNanos, long nowNanos) {
        boolean wasFailing = mHealth.isFailing(handle.id());
        mHealth.recordFailure(handle.id(), nowNanos);
        if (noResponseSinceNanos.isPresent()
                && !handle.hasRespondedSince(noResponseSinceNanos.getAsLong())) {
            mHealth.recordFailure(handle.id(), nowNanos);
            handle.recordNoResponse();
        }
        return !wasFailing && mHealth.isFailing(handle.id());
    }

    /** Records the end of a request that gives no evidence of the target's health. */
    synchronized void recordAbandoned(TargetHandle handle) {
        mHealth.recordAbandoned(handle.id());
    }

    synchronized boolean isFailing(TargetHandle handle) {
        return mHealth.isFailing(handle.id());
    }

    synchronized int unansweredRequests(TargetHandle handle) {
        return handle.unansweredRequests();
    }

    synchronized boolean hasRespondedSince(TargetHandle handle, long sinceNanos) {
        return handle.hasRespondedSince(sinceNanos);
    }

    synchronized boolean hasRoom(TargetHandle handle, long nowNanos) {
        return handle.state().load().requests(nowNanos)
                < handle.state().slots() * HAS_ROOM_LOAD_FRACTION;
    }

    synchronized void avoid(TargetHandle handle, long untilNanos) {
        handle.state().avoid(untilNanos);
    }

    private TargetAssessment assess(String id, long nowNanos) {
        return mHealth.failingCount() > mStates.size() / MAX_FAILING_TARGETS_DIVISOR
                ? TargetAssessment.HEALTHY
                : mHealth.assess(id, nowNanos);
    }

    private Set<String> rejectedIds(TargetFilter filter) {
        return mHandles.values().stream()
                .filter(handle -> !filter.accepts(handle.record()))
                .map(TargetHandle::id)
                .collect(Collectors.toSet());
    }

    // Adds the failing targets to the excluded ones: only requests that may be repeated are used to
    // probe whether a failing target has recovered.
    private Set<String> withFailingTargets(Set<String> excluded) {
        Set<String> all = new HashSet<>(excluded);
        mHandles.keySet().stream().filter(mHealth::isFailing).forEach(all::add);
        return all;
    }

    private PlacedTarget recordSend(PlacementChoice choice) {
        TargetHandle handle = mHandles.get(choice.targetId());
        handle.state().load().recordSent();
        mHealth.recordSent(handle.id());
        return new PlacedTarget(handle, choice);
    }
}
