package org.oleandertrack.gateway.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.core.organisation.limit.IssuerRanking;
import org.oleandertrack.core.organisation.limit.IssuerReach;
import org.oleandertrack.gateway.organisation.OrganisationIssuers;
import org.oleandertrack.gateway.organisation.PermitAnswer;
import org.oleandertrack.gateway.organisation.PermitCall;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * The announced peers as issuers of permits. A peer that does not respond for long is presumed to
 * have ended, because rows of ended gateways remain in the store. Thread-safe.
 */
public final class PeerOrganisationIssuers implements OrganisationIssuers {

    // An issuer is to notice within half a second that it reaches no other host, because those
    // outside its reach use another issuer or their own shares.
    private static final long REACH_TIMEOUT_MILLIS = 150;
    private static final int REACH_SAMPLE = 6;
    // Longer than a restart of a host.
    private static final long PRESUMED_ENDED_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int MAX_CACHED_RANKINGS = 4_096;

    private final PeerDirectory mPeers;
    private final String mOwnName;
    private final Random mRandom;
    private final LongSupplier mNanoClock;
    private final EventLog mLog;
    private final Set<String> mPresumedEnded = ConcurrentHashMap.newKeySet();
    private final Map<String, List<String>> mRankings = new HashMap<>();
    private long mEndedVersion;
    private long mRankedVersion = -1;

    /** Creates the issuers of the announced peers. */
    public PeerOrganisationIssuers(
            PeerDirectory peers,
            String ownName,
            Random random,
            LongSupplier nanoClock,
            EventLog log) {
        mPeers = peers;
        mOwnName = ownName;
        mRandom = random;
        mNanoClock = nanoClock;
        mLog = log;
    }

    // Accessors

    @Override
    public String ownName() {
        return mOwnName;
    }

    @Override
    public int hostCount() {
        int announced = liveHosts().size();
        return announced > 0 ? announced : 1 + mPeers.peerCount();
    }

    @Override
    public synchronized long hostsVersion() {
        return mPeers.announcedVersion() + mEndedVersion;
    }

    @Override
    public synchronized List<String> issuersFor(String organisation) {
        long version = hostsVersion();
        if (version != mRankedVersion || mRankings.size() >= MAX_CACHED_RANKINGS) {
            mRankings.clear();
            mRankedVersion = version;
        }
        return mRankings.computeIfAbsent(
                organisation, name -> IssuerRanking.rank(name, liveHosts()));
    }

    @Override
    public List<String> issuersWithoutOwn(String organisation) {
        return IssuerRanking.rank(
                organisation, liveHosts().stream().filter(host -> !host.equals(mOwnName)).toList());
    }

    @Override
    public boolean mayAsk(String host, long nowNanos) {
        return mPeers.announcedPeer(host)
                .filter(peer -> peer.issuerContact().mayAsk(nowNanos))
                .isPresent();
    }

    @Override
    public List<String> responsiveHostsExcept(String host, int limit) {
        long nowNanos = mNanoClock.getAsLong();
        List<String> hosts =
                new ArrayList<>(
                        liveHosts().stream()
                                .filter(other -> !other.equals(host) && mayAsk(other, nowNanos))
                                .toList());
        Collections.shuffle(hosts, mRandom);
        return hosts.subList(0, Math.min(limit, hosts.size()));
    }

    // Operations

    @Override
    public CompletableFuture<PermitAnswer> ask(String host, PermitCall call, long timeoutMillis) {
        Optional<PeerClient> peer = mPeers.announcedPeer(host);
        return peer.isPresent()
                ? peer.get().takeOrganisationPermit(call, timeoutMillis)
                : CompletableFuture.failedFuture(new IllegalStateException("no peer " + host));
    }

    @Override
    public CompletableFuture<Boolean> probe(String host) {
        return mPeers.announcedPeer(host)
                .map(peer -> peer.respondsWithin(REACH_TIMEOUT_MILLIS))
                .orElseGet(() -> CompletableFuture.completedFuture(false));
    }

    @Override
    public CompletableFuture<IssuerReach> measureReach() {
        List<String> others = new ArrayList<>(mPeers.announcedNames());
        others.remove(mOwnName);
        List<CompletableFuture<Boolean>> live = new ArrayList<>();
        boolean endedAsked = false;
        Collections.shuffle(others, mRandom);
        for (String host : others) {
            boolean ended = mPresumedEnded.contains(host);
            if (ended && !endedAsked) {
                endedAsked = true;
                var _ = probe(host);
            } else if (!ended && live.size() < REACH_SAMPLE) {
                live.add(probe(host));
            }
        }
        return CompletableFuture.allOf(live.toArray(CompletableFuture[]::new))
                .thenApply(
                        nothing -> {
                            presumeEnded();
                            int answered =
                                    (int)
                                            live.stream()
                                                    .filter(CompletableFuture::resultNow)
                                                    .count();
                            return new IssuerReach(live.size(), answered);
                        });
    }

    // Helpers

    private List<String> liveHosts() {
        return mPeers.announcedNames().stream()
                .filter(host -> host.equals(mOwnName) || !mPresumedEnded.contains(host))
                .toList();
    }

    // While this host does not reach most of the others, it is more likely that it is cut off than
    // that all of them have ended.
    private void presumeEnded() {
        long nowNanos = mNanoClock.getAsLong();
        List<String> others = liveHosts().stream().filter(host -> !host.equals(mOwnName)).toList();
        List<String> silent =
                others.stream().filter(host -> isSilentFor(host, 0, nowNanos)).toList();
        IssuerReach reach = new IssuerReach(others.size(), others.size() - silent.size());
        if (!reach.isIsolated()) {
            silent.stream()
                    .filter(host -> isSilentFor(host, PRESUMED_ENDED_NANOS, nowNanos))
                    .forEach(this::addEnded);
        }
        mPresumedEnded.stream()
                .filter(host -> !isSilentFor(host, 0, nowNanos))
                .forEach(this::removeEnded);
    }

    private boolean isSilentFor(String host, long nanos, long nowNanos) {
        return mPeers.announcedPeer(host)
                .map(PeerClient::issuerContact)
                .filter(
                        contact ->
                                nanos == 0
                                        ? contact.isSilent()
                                        : contact.isSilentFor(nanos, nowNanos))
                .isPresent();
    }

    private synchronized void addEnded(String host) {
        mPresumedEnded.add(host);
        mEndedVersion++;
        mLog.notice("host presumed ended").text("host", host).write();
    }

    private synchronized void removeEnded(String host) {
        mPresumedEnded.remove(host);
        mEndedVersion++;
    }
}
