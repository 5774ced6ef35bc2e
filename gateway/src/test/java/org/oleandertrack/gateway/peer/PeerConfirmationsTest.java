package org.oleandertrack.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.RevocationBound;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Guards against hosts that refuse requests although a peer reaches the store, and against hosts
 * that count an old configuration as confirmed.
 */
final class PeerConfirmationsTest {

    private static final long MAX_AGE_MILLIS = 4_900;
    private static final long MAINTENANCE_MILLIS = 250;
    private static final long POLL_MILLIS = 1_500;
    private static final long ONE_WAY_MILLIS = 2;
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Random mRandom = new Random(7);
    private final List<Host> mHosts = new ArrayList<>();
    private long mNowMillis;
    private long mEventCount;
    private long mStoreVersion = 1;
    private long mPeerCalls;

    private record Event(long atMillis, long number, Runnable task) {}

    /** A host without a network; its calls to the store hang while it is cut off. */
    private final class Host implements ConfirmationPeer {
        private final ConfigFreshness mFreshness =
                new ConfigFreshness(
                        () -> TimeUnit.MILLISECONDS.toNanos(mNowMillis), () -> mNowMillis);
        private final FakePeerConfiguration mConfiguration = new FakePeerConfiguration();
        private final PeerConfirmations mConfirmations =
                new PeerConfirmations(
                        new RevocationBound(5_000),
                        () -> mHosts.stream().filter(host -> host != this).toList(),
                        mFreshness,
                        mConfiguration,
                        mRandom,
                        new EventLog(line -> {}, Clock.systemUTC(), 1));
        private boolean mCut;
        private boolean mFrozen;
        private boolean mTableRead;

        void start() {
            schedule(mRandom.nextLong(POLL_MILLIS), this::poll);
            schedule(mRandom.nextLong(MAINTENANCE_MILLIS), this::runMaintenance);
        }

        private void poll() {
            ConfigFreshness.Moment begun = mFreshness.now();
            schedule(
                    mTableRead ? POLL_MILLIS : ONE_WAY_MILLIS,
                    () -> {
                        if (!mCut) {
                            mTableRead = true;
                            mConfiguration.mVersion = OptionalLong.of(mStoreVersion);
                            mFreshness.confirm(begun);
                        }
                        poll();
                    });
        }

        private void runMaintenance() {
            mConfirmations.runMaintenance();
            schedule(MAINTENANCE_MILLIS, this::runMaintenance);
        }

        @Override
        public CompletableFuture<PeerMessages.ConfigurationAge> configurationAge(
                PeerMessages.AskConfigurationAge message) {
            return call(() -> PeerMessages.ConfigurationAge.of(mFreshness, mConfiguration));
        }

        @Override
        public CompletableFuture<PeerMessages.ConfigurationRow> readConfiguration(
                PeerMessages.ReadConfiguration message) {
            return call(() -> new PeerMessages.ConfigurationRow(mConfiguration.row().orElse(null)));
        }

        private <T> CompletableFuture<T> call(java.util.function.Supplier<T> answer) {
            mPeerCalls++;
            CompletableFuture<T> result = new CompletableFuture<>();
            if (mFrozen) {
                schedule(
                        CALL_TIMEOUT_MILLIS,
                        () -> result.completeExceptionally(new IllegalStateException("frozen")));
                return result;
            }
            schedule(
                    ONE_WAY_MILLIS,
                    () -> {
                        T value = answer.get();
                        schedule(ONE_WAY_MILLIS, () -> result.complete(value));
                    });
            return result;
        }
    }

    private void schedule(long delayMillis, Runnable task) {
        mEvents.add(new Event(mNowMillis + delayMillis, mEventCount++, task));
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            mHosts.add(new Host());
        }
        mHosts.forEach(Host::start);
    }

    private void runUntil(long millis) {
        while (mEvents.peek().atMillis() <= millis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.task().run();
        }
        mNowMillis = millis;
    }

    /** Runs and returns the largest age that any host has had at any time. */
    private long largestAgeMillis(long untilMillis) {
        long largestMillis = 0;
        for (long millis = mNowMillis; millis <= untilMillis; millis += 10) {
            runUntil(millis);
            for (Host host : mHosts) {
                long ageMillis = host.mFreshness.ageMillis().orElse(Long.MAX_VALUE);
                largestMillis = Math.max(largestMillis, host.mFrozen ? 0 : ageMillis);
            }
        }
        return largestMillis;
    }

    @Test
    void hostsThatTheStoreAnswersAskNoPeer() {
        start(7);
        runUntil(2_000);
        mPeerCalls = 0;
        assertTrue(largestAgeMillis(30_000) <= 2 * POLL_MILLIS + ONE_WAY_MILLIS);
        assertEquals(0, mPeerCalls);
    }

    /** The store's calls hang silently at all hosts but one. */
    @ParameterizedTest
    @CsvSource({"7", "41", "337"})
    void oneHostThatReachesTheStoreKeepsAllOthersUpToDate(int hosts) {
        start(hosts);
        runUntil(4_000);
        mHosts.subList(1, hosts).forEach(host -> host.mCut = true);
        long largestMillis = largestAgeMillis(hosts > 100 ? 14_000 : 30_000);
        assertTrue(largestMillis < MAX_AGE_MILLIS, "largest age " + largestMillis);
    }

    @Test
    void frozenPeersDoNotKeepAHostFromAskingOthers() {
        start(20);
        runUntil(4_000);
        mHosts.subList(0, 5).forEach(host -> host.mFrozen = true);
        mHosts.get(19).mCut = true;
        long largestMillis = largestAgeMillis(20_000);
        assertTrue(largestMillis < MAX_AGE_MILLIS, "largest age " + largestMillis);
    }

    @Test
    void aCutHostReadsANewerConfigurationFromAPeer() {
        start(5);
        runUntil(4_000);
        mHosts.getFirst().mCut = true;
        mStoreVersion = 2;
        runUntil(9_000);
        assertEquals(OptionalLong.of(2), mHosts.getFirst().mConfiguration.version());
        assertTrue(mHosts.getFirst().mFreshness.ageMillis().getAsLong() < MAX_AGE_MILLIS);
    }

    @Test
    void aHostThatStartsWithoutTheStoreReadsTheConfigurationFromAPeer() {
        start(3);
        mHosts.getFirst().mCut = true;
        runUntil(3_000);
        assertEquals(OptionalLong.of(1), mHosts.getFirst().mConfiguration.version());
    }

    @Test
    void withoutTheStoreTheAgeOfAllHostsGrows() {
        start(5);
        runUntil(4_000);
        mHosts.forEach(host -> host.mCut = true);
        runUntil(10_000);
        for (Host host : mHosts) {
            assertTrue(host.mFreshness.ageMillis().getAsLong() >= 6_000);
        }
    }
}
