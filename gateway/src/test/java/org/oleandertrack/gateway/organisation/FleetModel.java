package org.oleandertrack.gateway.organisation;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.organisation.limit.AskerState;
import org.oleandertrack.core.organisation.limit.IssuerRanking;
import org.oleandertrack.core.organisation.limit.IssuerReach;
import org.oleandertrack.core.organisation.limit.OwnShares;
import org.oleandertrack.core.organisation.limit.PermitIssuerState;
import org.oleandertrack.gateway.call.OrganisationLimiter;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Hosts that issue permits to each other, with a simulated clock and network. */
final class FleetModel {

    static final long STEP_MILLIS = 10;

    private static final long MAINTENANCE_MILLIS = 250;
    private static final long SKIP_MILLIS = 1_000;

    private final Random mRandom;
    private final List<Host> mHosts = new ArrayList<>();
    private final Set<Set<String>> mCuts = new HashSet<>();
    private final Map<String, Organisation> mOrganisations = new HashMap<>();
    private final Map<String, List<Integer>> mSends = new HashMap<>();
    private long mNowMillis = 1_000_000;
    // The first hosts have been running for long, so their buckets are full.
    private long mStartedAgoMillis = TimeUnit.HOURS.toMillis(1);
    private long mConfigVersion;
    private int mCalls;

    FleetModel(int hosts, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new Host("host-" + i));
        }
        mHosts.forEach(host -> mHosts.forEach(other -> host.mKnown.add(other.mName)));
        mHosts.forEach(Host::start);
        mStartedAgoMillis = 0;
    }

    // Accessors

    Random random() {
        return mRandom;
    }

    List<Host> hosts() {
        return mHosts;
    }

    long nowMillis() {
        return mNowMillis;
    }

    /** Returns the number of calls between hosts so far. */
    int calls() {
        return mCalls;
    }

    /** Returns the number of permits used in each step so far. */
    List<Integer> sends(String organisation) {
        return mSends.getOrDefault(organisation, List.of());
    }

    // Operations

    /** Sets limits, which each host learns up to the given time later. */
    void limit(String organisation, RequestLimit limit, int delayMillis) {
        mOrganisations.put(
                organisation,
                new Organisation(organisation, Set.of(), OptionalInt.empty(), Optional.of(limit)));
        mConfigVersion++;
        for (Host host : mHosts) {
            host.mConfigMillis = mNowMillis + (delayMillis == 0 ? 0 : mRandom.nextInt(delayMillis));
            host.configure();
        }
    }

    /** Adds a host, which the others know up to 2 s later. */
    void addHost() {
        Host added = new Host("host-" + mHosts.size());
        mHosts.add(added);
        for (Host host : mHosts) {
            added.mKnown.add(host.mName);
            host.mLearns.put(
                    added.mName, mNowMillis + (host == added ? 0 : mRandom.nextInt(2_000)));
        }
        added.configure();
    }

    void cut(Host one, Host other) {
        if (one != other) {
            mCuts.add(Set.of(one.mName, other.mName));
        }
    }

    void heal() {
        mCuts.clear();
    }

    /** Advances the clock by one step. */
    void step() {
        mNowMillis += STEP_MILLIS;
        for (Host host : mHosts) {
            host.step();
        }
        mOrganisations
                .keySet()
                .forEach(name -> mSends.computeIfAbsent(name, key -> new ArrayList<>()).add(0));
    }

    void steps(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            step();
        }
    }

    private boolean reaches(Host one, Host other) {
        return one.isUp() && other.isUp() && !mCuts.contains(Set.of(one.mName, other.mName));
    }

    /** A host of the model. */
    final class Host implements OrganisationIssuers {
        private final String mName;
        private final Set<String> mKnown = new LinkedHashSet<>();
        private final Map<String, Long> mLearns = new HashMap<>();
        private final Map<String, Long> mSkippedUntil = new HashMap<>();
        private boolean mAlive = true;
        private long mFrozenUntilMillis;
        private long mFrozenMillis;
        private long mConfigMillis;
        private long mAppliedVersion;
        private OrganisationPermitService mService;
        private SharedOrganisationLimiter mLimiter;

        Host(String name) {
            mName = name;
            start();
        }

        // Accessors

        boolean isUp() {
            return mAlive && mNowMillis >= mFrozenUntilMillis;
        }

        String name() {
            return mName;
        }

        private long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(mNowMillis - mFrozenMillis);
        }

        // Faults

        void start() {
            mAlive = true;
            mSkippedUntil.clear();
            mAppliedVersion = 0;
            mService =
                    new OrganisationPermitService(
                            this,
                            new PermitIssuerState(
                                    mRandom,
                                    nanos() - TimeUnit.MILLISECONDS.toNanos(mStartedAgoMillis),
                                    mNowMillis - mStartedAgoMillis),
                            this::nanos,
                            () -> mNowMillis);
            mLimiter =
                    new SharedOrganisationLimiter(
                            this,
                            mService,
                            new AskerState(mRandom),
                            new OwnShares(mRandom),
                            this::nanos,
                            (delayNanos, task) -> {
                                throw new IllegalStateException("nothing waits in this model");
                            },
                            0,
                            new LimitReports(
                                    new EventLog(line -> {}, Clock.systemUTC(), 0),
                                    new MetricsRegistry()));
            configure();
        }

        void kill() {
            mAlive = false;
        }

        void freeze(long millis) {
            mFrozenUntilMillis = mNowMillis + millis;
        }

        void step() {
            if (mNowMillis < mFrozenUntilMillis) {
                mFrozenMillis += STEP_MILLIS;
            }
            if (!isUp()) {
                return;
            }
            configure();
            mLearns.forEach(
                    (host, millis) -> {
                        if (mNowMillis >= millis) {
                            mKnown.add(host);
                        }
                    });
            if (Math.floorMod(mNowMillis + mName.hashCode(), MAINTENANCE_MILLIS) < STEP_MILLIS) {
                mService.runMaintenance();
                mLimiter.runMaintenance();
            }
        }

        private void configure() {
            if (mNowMillis >= mConfigMillis && mAppliedVersion < mConfigVersion) {
                mAppliedVersion = mConfigVersion;
                mService.configure(List.copyOf(mOrganisations.values()), mConfigVersion);
            }
        }

        // Requests

        OrganisationLimiter.Admission admit(String organisation, Optional<String> program) {
            return mLimiter.admit(request(organisation, program)).resultNow();
        }

        /** Asks for a permit and uses it. */
        OrganisationLimiter.Admission sendOrRefuse(String organisation, Optional<String> program) {
            OrganisationLimiter.Admission admission = admit(organisation, program);
            if (admission instanceof OrganisationLimiter.Admission.Admitted) {
                List<Integer> sends = mSends.get(organisation);
                sends.set(sends.size() - 1, sends.getLast() + 1);
            }
            return admission;
        }

        boolean send(String organisation, Optional<String> program) {
            return sendOrRefuse(organisation, program)
                    instanceof OrganisationLimiter.Admission.Admitted;
        }

        void giveBack(String organisation, OrganisationLimiter.Admission.Admitted permit) {
            mLimiter.giveBack(request(organisation, Optional.empty()), permit);
        }

        private OrganisationLimiter.Request request(String organisation, Optional<String> program) {
            return new OrganisationLimiter.Request(
                    mOrganisations.get(organisation), mAppliedVersion, program, 10_000);
        }

        // The other hosts as this one knows them

        @Override
        public String ownName() {
            return mName;
        }

        @Override
        public int hostCount() {
            return mKnown.size();
        }

        @Override
        public long hostsVersion() {
            return mKnown.size();
        }

        @Override
        public List<String> issuersFor(String organisation) {
            return IssuerRanking.rank(organisation, mKnown);
        }

        @Override
        public List<String> issuersWithoutOwn(String organisation) {
            return IssuerRanking.rank(
                    organisation, mKnown.stream().filter(host -> !host.equals(mName)).toList());
        }

        @Override
        public boolean mayAsk(String host, long nowNanos) {
            return !host.equals(mName) && mSkippedUntil.getOrDefault(host, 0L) <= nanos();
        }

        @Override
        public List<String> responsiveHostsExcept(String host, int limit) {
            List<String> others =
                    new ArrayList<>(
                            mKnown.stream()
                                    .filter(other -> !other.equals(host) && mayAsk(other, nanos()))
                                    .toList());
            Collections.shuffle(others, mRandom);
            return others.subList(0, Math.min(limit, others.size()));
        }

        @Override
        public CompletableFuture<PermitAnswer> ask(
                String host, PermitCall call, long timeoutMillis) {
            Host other = find(host);
            mCalls++;
            if (!reaches(this, other)) {
                mSkippedUntil.put(host, nanos() + TimeUnit.MILLISECONDS.toNanos(SKIP_MILLIS));
                return CompletableFuture.failedFuture(new IllegalStateException("cut"));
            }
            return other.mService.take(call);
        }

        @Override
        public CompletableFuture<Boolean> probe(String host) {
            boolean reached = reaches(this, find(host));
            if (reached) {
                mSkippedUntil.remove(host);
            }
            return CompletableFuture.completedFuture(reached);
        }

        @Override
        public CompletableFuture<IssuerReach> measureReach() {
            List<Host> others =
                    mKnown.stream().map(this::find).filter(host -> host != this).toList();
            int answered = (int) others.stream().filter(host -> reaches(this, host)).count();
            return CompletableFuture.completedFuture(new IssuerReach(others.size(), answered));
        }

        private Host find(String name) {
            return mHosts.stream()
                    .filter(host -> host.mName.equals(name))
                    .findFirst()
                    .orElseThrow();
        }
    }
}
