package org.oleandertrack.gateway.organisation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.organisation.limit.IssueResult;
import org.oleandertrack.core.organisation.limit.IssuerReach;
import org.oleandertrack.core.organisation.limit.PermitIssuerState;

/**
 * Issues permits to this host and its peers for the organisations for which this host is a
 * candidate. The second candidate forwards to the first one if it reaches it, so that hosts that
 * reach different candidates still get their permits from one. Thread-safe.
 */
public final class OrganisationPermitService {

    // The asking host waits 150 ms, in which this host asks the first candidate, and then two peers
    // that may reach it, before it decides itself.
    private static final long FORWARD_TIMEOUT_MILLIS = 45;
    private static final long RELAY_TIMEOUT_MILLIS = 40;
    private static final int RELAYING_PEERS = 2;
    // An issuer that loses most hosts issues beside another one until it notices: 0.15 s and a
    // timeout of 0.15 s, of the 0.5 s of the rate by which a window may exceed the limit.
    private static final long MEASURE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long IDLE_MEASURE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    // After a failure through one peer, further requests are decided without asking another.
    private static final long UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final OrganisationIssuers mIssuers;
    private final PermitIssuerState mState;
    private final LongSupplier mNanoClock;
    private final LongSupplier mWallClockMillis;
    private final Map<String, Long> mProbed = new ConcurrentHashMap<>();
    // Times until which hosts are not asked through peers.
    private final Map<String, Long> mUnreachable = new ConcurrentHashMap<>();
    private volatile Limits mLimits = new Limits(Map.of(), 0);
    private volatile IssuerReach mReach = IssuerReach.UNKNOWN;
    private boolean mMeasuring;
    private long mMeasuredNanos;
    private long mHostsVersion;

    /** Creates a service that issues no permits until {@link #configure} is called. */
    public OrganisationPermitService(
            OrganisationIssuers issuers,
            PermitIssuerState state,
            LongSupplier nanoClock,
            LongSupplier wallClockMillis) {
        mIssuers = issuers;
        mState = state;
        mNanoClock = nanoClock;
        mWallClockMillis = wallClockMillis;
        mHostsVersion = issuers.hostsVersion();
        mMeasuredNanos = nanoClock.getAsLong();
    }

    // Operations

    /** Applies the limits of a configuration that is newer than the previous one. */
    public void configure(List<Organisation> organisations, long version) {
        mLimits =
                new Limits(
                        organisations.stream()
                                .filter(organisation -> organisation.limit().isPresent())
                                .collect(
                                        Collectors.toUnmodifiableMap(
                                                Organisation::name,
                                                organisation -> organisation.limit().get(),
                                                (first, second) -> first)),
                        version);
    }

    /**
     * Decides on a request of this host or of a peer. The future fails if this host is not a
     * candidate, does not know the organisation's limit, or does not reach enough of the others to
     * issue permits for them.
     */
    public CompletableFuture<PermitAnswer> take(PermitCall call) {
        if (call.relayTo().isPresent()) {
            return forward(call, call.relayTo().get());
        }
        String organisation = call.request().organisation();
        List<String> issuers = mIssuers.issuersFor(organisation);
        int rank = 1 + issuers.indexOf(mIssuers.ownName());
        if (rank == 0 && !call.forwarded()) {
            return failed("this host issues no permits for the organisation");
        }
        long nowNanos = mNanoClock.getAsLong();
        applyHostChange(nowNanos);
        if (call.forwarded() || mState.isIssuer(organisation, rank, nowNanos)) {
            return issue(call, rank == 1 ? 1 : 2, rank != 1);
        }
        return rank == 1
                ? askPrevious(call, mIssuers.issuersWithoutOwn(organisation))
                : askFirst(call, issuers.getFirst());
    }

    /** Forgets idle organisations and measures how many hosts respond. To be called regularly. */
    public void runMaintenance() {
        long nowNanos = mNanoClock.getAsLong();
        mState.runMaintenance(nowNanos, mWallClockMillis.getAsLong());
        applyHostChange(nowNanos);
        if (!mLimits.byOrganisation().isEmpty()) {
            measureReach(nowNanos, IDLE_MEASURE_INTERVAL_NANOS);
        }
    }

    // Helpers

    // While this host becomes known, the issuers without it continue.
    private CompletableFuture<PermitAnswer> askPrevious(PermitCall call, List<String> previous) {
        if (previous.isEmpty()) {
            return issue(call, 1, false);
        }
        return forward(call, previous.getFirst())
                .thenApply(
                        answer -> {
                            recordIssuedElsewhere(call, answer);
                            return answer;
                        })
                .exceptionallyCompose(
                        failure -> askPrevious(call, previous.subList(1, previous.size())));
    }

    private CompletableFuture<PermitAnswer> askFirst(PermitCall call, String first) {
        probe(first);
        return forward(call, first)
                .exceptionallyCompose(failure -> askThroughPeers(call, first))
                .exceptionallyCompose(failure -> issue(call, 2, false));
    }

    private CompletableFuture<PermitAnswer> forward(PermitCall call, String host) {
        return mIssuers.mayAsk(host, mNanoClock.getAsLong())
                ? mIssuers.ask(host, call.forward(), FORWARD_TIMEOUT_MILLIS)
                : failed("this host does not reach " + host);
    }

    // A host that was slow for a moment issues permits to its own callers again at once, while it
    // is
    // skipped for 1 s. The second candidate forwards to it again as soon as it responds.
    private void probe(String first) {
        long nowNanos = mNanoClock.getAsLong();
        Long probedNanos = mProbed.get(first);
        if (mIssuers.mayAsk(first, nowNanos)
                || (probedNanos != null && nowNanos - probedNanos < PROBE_INTERVAL_NANOS)) {
            return;
        }
        mProbed.put(first, nowNanos);
        var _ = mIssuers.probe(first);
    }

    // If only the link between the two candidates is cut, the first one still issues permits to all
    // others, so this host must not issue any.
    private CompletableFuture<PermitAnswer> askThroughPeers(PermitCall call, String first) {
        Long retryNanos = mUnreachable.get(first);
        if (retryNanos != null && retryNanos - mNanoClock.getAsLong() > 0) {
            return failed("the first issuer is out of reach");
        }
        return askThroughPeers(call, first, mIssuers.responsiveHostsExcept(first, RELAYING_PEERS));
    }

    private CompletableFuture<PermitAnswer> askThroughPeers(
            PermitCall call, String first, List<String> peers) {
        if (peers.isEmpty()) {
            mUnreachable.put(first, mNanoClock.getAsLong() + UNREACHABLE_NANOS);
            return failed("the first issuer is out of reach");
        }
        return mIssuers.ask(peers.getFirst(), call.relay(first), RELAY_TIMEOUT_MILLIS)
                .exceptionallyCompose(
                        failure -> askThroughPeers(call, first, peers.subList(1, peers.size())));
    }

    private void recordIssuedElsewhere(PermitCall call, PermitAnswer answer) {
        if (!(answer.result() instanceof IssueResult.Granted)) {
            return;
        }
        String organisation = call.request().organisation();
        Optional.ofNullable(mLimits.byOrganisation().get(organisation))
                .ifPresent(
                        limit ->
                                mState.recordIssuedElsewhere(
                                        organisation, limit, mNanoClock.getAsLong()));
    }

    private CompletableFuture<PermitAnswer> issue(PermitCall call, int rank, boolean handover) {
        Limits limits = mLimits;
        Optional<RequestLimit> limit =
                Optional.ofNullable(limits.byOrganisation().get(call.request().organisation()));
        if (limit.isEmpty()) {
            return failed("no limit of the organisation in version " + limits.version());
        }
        long nowNanos = mNanoClock.getAsLong();
        measureReach(nowNanos, MEASURE_INTERVAL_NANOS);
        IssuerReach reach = mReach;
        if (reach.isIsolated()) {
            return failed(
                    "this host reaches " + reach.answered() + " of " + reach.asked() + " peers");
        }
        IssueResult result =
                mState.issue(
                        call.request(),
                        limit.get(),
                        reach.rateFactor(),
                        rank,
                        handover,
                        nowNanos,
                        mWallClockMillis.getAsLong());
        return CompletableFuture.completedFuture(
                new PermitAnswer(result, mIssuers.ownName(), rank, limits.version()));
    }

    private void measureReach(long nowNanos, long intervalNanos) {
        synchronized (this) {
            if (mMeasuring || nowNanos - mMeasuredNanos < intervalNanos) {
                return;
            }
            mMeasuring = true;
            mMeasuredNanos = nowNanos;
        }
        var _ = mIssuers.measureReach().thenAccept(this::onMeasured);
    }

    private synchronized void onMeasured(IssuerReach reach) {
        mReach = reach;
        mMeasuring = false;
    }

    private synchronized void applyHostChange(long nowNanos) {
        long version = mIssuers.hostsVersion();
        if (version != mHostsVersion) {
            mHostsVersion = version;
            mState.recordHostChange(nowNanos);
        }
    }

    private static CompletableFuture<PermitAnswer> failed(String reason) {
        return CompletableFuture.failedFuture(new IllegalStateException(reason));
    }

    /** The limits of one configuration. */
    private record Limits(Map<String, RequestLimit> byOrganisation, long version) {}
}
