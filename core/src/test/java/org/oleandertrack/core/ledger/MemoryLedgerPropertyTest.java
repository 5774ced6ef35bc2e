package org.oleandertrack.core.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Runs {@link MemoryLedger} against a model of the engine with random faults. jqwik prints the seed
 * of each run.
 */
final class MemoryLedgerPropertyTest {

    private static final long SECOND = 1_000_000_000L;
    private static final LedgerConfig CONFIG = LedgerConfig.withIdleSeconds(600);
    private static final int STEPS = 400;

    /**
     * Exceeds the sum of the idle time after the end, the settling time and the longest backoff.
     */
    private static final int SECONDS_WITHOUT_FAULTS = 300;

    /**
     * Guards against memory that stays held for ended programs because an event, a release or its
     * confirmation was late or lost, or because calls and releases overlapped.
     */
    @Property(seed = "20261204", tries = 1_000)
    void nothingStaysHeldForEndedPrograms(@ForAll long seed) {
        Run run = new Run(seed, false);
        run.runWithFaults();
        run.runWithoutFaults(SECONDS_WITHOUT_FAULTS);
        assertEquals(Set.of(), run.heldByEnded(), "held after the end");
        run.runWithoutFaults(900);
        assertEquals(Set.of(), run.mHeldTokens.keySet(), "held after the idle time");
    }

    /**
     * Guards against memory that a restarted sidecar never frees. Owners that the new incarnation
     * cannot know are not checked: no call, end or event of theirs reached it.
     */
    @Property(seed = "20261204", tries = 1_000)
    void nothingStaysHeldAfterRestarts(@ForAll long seed) {
        Run run = new Run(seed, true);
        run.runWithFaults();
        run.runWithoutFaults(SECONDS_WITHOUT_FAULTS + 900);
        Set<String> held = new TreeSet<>(run.mHeldTokens.keySet());
        held.retainAll(run.mKnown);
        assertEquals(Set.of(), held, "held after the idle time");
    }

    /** A ledger, an engine, and the messages in transit between them. */
    private static final class Run {

        private record PendingEvent(CacheEvent event, long visibleNanos) {}

        private record Scheduled(long atNanos, Runnable action) {}

        private final SplittableRandom mRandom;
        private final boolean mRestarts;
        private final Map<String, Long> mHeldTokens = new TreeMap<>();
        private final List<PendingEvent> mPendingEvents = new ArrayList<>();
        private final List<Scheduled> mScheduled = new ArrayList<>();
        private final List<String> mRunning = new ArrayList<>();
        private final Set<String> mEnded = new HashSet<>();
        private final Set<String> mKnown = new HashSet<>();
        private MemoryLedger mLedger = new MemoryLedger(CONFIG);
        private int mIncarnation;
        private long mSequence;
        private long mNowNanos;
        private boolean mFaulty = true;

        Run(long seed, boolean restarts) {
            mRandom = new SplittableRandom(seed);
            mRestarts = restarts;
            mNowNanos = mRandom.nextLong();
        }

        void runWithFaults() {
            for (int step = 0; step < STEPS; step++) {
                mNowNanos += mRandom.nextLong(2 * SECOND);
                switch (mRandom.nextInt(12)) {
                    case 0, 1, 2 -> startCall();
                    case 3, 4, 5 -> endCall();
                    case 6 -> endProgram();
                    case 7 -> evict();
                    case 8 -> restart();
                    default -> pollOnce();
                }
            }
        }

        void runWithoutFaults(int seconds) {
            while (!mRunning.isEmpty()) {
                endCall();
            }
            mFaulty = false;
            for (int second = 0; second < seconds; second++) {
                mNowNanos += SECOND;
                pollOnce();
            }
        }

        Set<String> heldByEnded() {
            Set<String> held = new TreeSet<>(mHeldTokens.keySet());
            held.removeIf(owner -> mEnded.stream().noneMatch(root -> isPartOf(owner, root)));
            return held;
        }

        private void startCall() {
            String owner = randomOwner();
            mRunning.add(owner);
            mKnown.add(owner);
            mLedger.recordCallStart(owner, mNowNanos);
            if (mRandom.nextBoolean()) {
                store(owner);
            }
        }

        private void endCall() {
            if (mRunning.isEmpty()) {
                return;
            }
            String owner = mRunning.remove(mRandom.nextInt(mRunning.size()));
            if (mRandom.nextBoolean()) {
                store(owner);
            }
            storeLate(owner);
            mLedger.recordCallEnd(owner, mRandom.nextLong(100), mNowNanos);
        }

        /** Tokens of a cancelled call may be stored until the engine notices the cancellation. */
        private void storeLate(String owner) {
            if (mRandom.nextInt(3) == 0) {
                schedule(mRandom.nextLong(CONFIG.settleNanos()), () -> store(owner));
            }
        }

        private void endProgram() {
            String root = "o/p" + mRandom.nextInt(6);
            mEnded.add(root);
            mKnown.add(root);
            mLedger.end(root, ReleaseReason.ORDERED, mNowNanos);
        }

        private void restart() {
            if (!mRestarts || mRandom.nextInt(4) > 0) {
                return;
            }
            mIncarnation++;
            mLedger = new MemoryLedger(CONFIG);
            mKnown.clear();
            mRunning.forEach(this::storeLate);
            mRunning.clear();
        }

        private void evict() {
            if (!mHeldTokens.isEmpty()) {
                release(mHeldTokens.keySet().iterator().next());
            }
        }

        /** Simulates one run of the service that polls events and sends releases. */
        private void pollOnce() {
            List<Scheduled> due =
                    mScheduled.stream().filter(l -> mNowNanos - l.atNanos() >= 0).toList();
            mScheduled.removeAll(due);
            due.forEach(later -> later.action().run());
            readEvents();
            for (Release release : mLedger.takeDue(4, mNowNanos)) {
                send(release);
            }
        }

        private void readEvents() {
            if (mFaulty && mRandom.nextInt(4) == 0) {
                return;
            }
            long after = mLedger.lastSequence();
            List<CacheEvent> visible = new ArrayList<>();
            for (PendingEvent stored : mPendingEvents) {
                if (stored.event().sequence() > after && mNowNanos - stored.visibleNanos() >= 0) {
                    visible.add(stored.event());
                    if (stored.event().kind() == CacheEvent.Kind.STORED) {
                        mKnown.add(stored.event().owner());
                    }
                }
            }
            mLedger.applyEvents(visible, mNowNanos);
        }

        private void send(Release release) {
            int fault = mFaulty ? mRandom.nextInt(4) : 3;
            long delay = mFaulty ? mRandom.nextLong(3 * SECOND) : 0;
            int incarnation = mIncarnation;
            schedule(
                    delay,
                    () -> {
                        if (fault != 0) {
                            release(release.owner());
                        }
                        if (incarnation != mIncarnation) {
                            return;
                        }
                        if (fault <= 1) {
                            mLedger.recordReleaseFailure(release, mNowNanos);
                        } else {
                            mLedger.confirmRelease(release, mNowNanos);
                        }
                    });
        }

        private void schedule(long delayNanos, Runnable action) {
            mScheduled.add(new Scheduled(mNowNanos + delayNanos, action));
        }

        private void store(String owner) {
            long tokens = 1 + mRandom.nextLong(50);
            mHeldTokens.merge(owner, tokens, Long::sum);
            emitEvent(CacheEvent.Kind.STORED, owner, tokens);
        }

        private void release(String owner) {
            Long tokens = mHeldTokens.remove(owner);
            if (tokens != null) {
                emitEvent(CacheEvent.Kind.EVICTED, owner, tokens);
            }
        }

        private void emitEvent(CacheEvent.Kind kind, String owner, long tokens) {
            mSequence++;
            if (!mFaulty || mRandom.nextInt(3) > 0) {
                long visibleNanos = mNowNanos + mRandom.nextLong(10 * SECOND);
                mPendingEvents.add(
                        new PendingEvent(
                                new CacheEvent(mSequence, kind, owner, tokens), visibleNanos));
            }
        }

        private String randomOwner() {
            String root = "o/p" + mRandom.nextInt(6);
            return mRandom.nextInt(3) == 0 ? root + "/s" + mRandom.nextInt(2) : root;
        }

        private static boolean isPartOf(String owner, String root) {
            return owner.equals(root) || owner.startsWith(root + "/");
        }
    }
}
