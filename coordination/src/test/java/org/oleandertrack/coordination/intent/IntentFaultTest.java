package org.oleandertrack.coordination.intent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.sim.FakeStore;
import org.oleandertrack.coordination.sim.FaultInjector;
import org.oleandertrack.coordination.sim.SeededRuns;
import org.oleandertrack.coordination.sim.VirtualNode;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;

final class IntentFaultTest {

    private static final int SCHEDULES_PER_TRY = 500;
    private static final int KEYS = 4;

    /**
     * Guards against a call that runs twice, an answer that is not that of the run, and a key that
     * stays blocked although its call provably never ran, while several processes act as holder of
     * the shard.
     */
    @Property(seed = "20261204", tries = 20, shrinking = ShrinkingMode.OFF)
    void callsRunAtMostOnceUnderFaults(@ForAll long seed) {
        SeededRuns.run(seed, SCHEDULES_PER_TRY, drawn -> new Schedule(drawn).run());
    }

    /** Guards against answering a different request with the same key, and losing large answers. */
    @Test
    void repeatedKeyIsAnsweredFromTheRecord() {
        Schedule schedule = new Schedule(1);
        Schedule.Holder holder = schedule.new Holder(1);
        Intent intent =
                assertInstanceOf(IntentOutcome.Started.class, schedule.begin(holder, "r", "a1"))
                        .intent();
        assertEquals(new IntentOutcome.InProgress("a1"), schedule.begin(holder, "r", "a2"));
        assertEquals(new IntentOutcome.Mismatch(), schedule.begin(holder, "other", "a3"));
        String large = "x".repeat(100_000);
        var finished = holder.mIntents.finish(intent, answer(large), holder.randomDeadlineNanos());
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertTrue(finished.isDone());
        IntentOutcome.Finished again =
                assertInstanceOf(IntentOutcome.Finished.class, schedule.begin(holder, "r", "a4"));
        assertEquals(large, text(again.answer()));
        assertEquals(new IntentOutcome.Mismatch(), schedule.begin(holder, "other", "a5"));
    }

    /** Guards against running a call again after the holder that began it died. */
    @Test
    void intentOfADeadHolderIsUnknown() {
        Schedule schedule = new Schedule(2);
        Schedule.Holder first = schedule.new Holder(1);
        var _ = schedule.begin(first, "r", "a1");
        first.mNode.kill();
        Schedule.Holder second = schedule.new Holder(2);
        assertEquals(new IntentOutcome.UnknownOutcome("a1"), schedule.begin(second, "r", "a2"));
        var abandoned = second.mIntents.abandonNotRun("o", "0", "a1", second.randomDeadlineNanos());
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertTrue(abandoned.join());
        assertInstanceOf(IntentOutcome.Started.class, schedule.begin(second, "r", "a3"));
    }

    /** Guards against a key that is blocked for ever by an attempt that was not dispatched. */
    @Test
    void attemptWithoutConfirmedIntentDoesNotBlockItsKey() {
        Schedule schedule = new Schedule(3);
        Schedule.Holder holder = schedule.new Holder(1);
        schedule.mStore.setLostReplyShare(1);
        long deadline = holder.mNode.nanos() + 41 * VirtualTime.MILLI;
        var unsettled = holder.mIntents.begin("o", "0", "r", "a1", 1, deadline);
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertTrue(unsettled.isCompletedExceptionally());
        assertTrue(schedule.mStore.row("intent/o/0").isPresent());
        schedule.mStore.healFaults();
        assertInstanceOf(IntentOutcome.Started.class, schedule.begin(holder, "other", "a2"));
    }

    private static IntentAnswer answer(String text) {
        return new IntentAnswer(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(IntentAnswer answer) {
        return new String(answer.data(), StandardCharsets.UTF_8);
    }

    private static final class Schedule {
        private final VirtualTime mTime;
        private final FakeStore mStore;
        private final Random mRandom;
        private final List<Holder> mHolders = new ArrayList<>();
        // State of the simulated target: the id of the attempt that ran, by key, and the ids of the
        // attempts that it refuses from now on.
        private final Map<String, String> mRunAttemptIds = new HashMap<>();
        private final Set<String> mRefusedAttemptIds = new HashSet<>();
        private int mAttempts;

        Schedule(long seed) {
            mTime = new VirtualTime(seed);
            mStore = new FakeStore(mTime);
            mRandom = mTime.random();
        }

        void run() {
            new Holder(1).work();
            FaultInjector faults =
                    new FaultInjector(
                            mTime,
                            mStore,
                            () ->
                                    mHolders.stream()
                                            .map(
                                                    h ->
                                                            new FaultInjector.SimProcess(
                                                                    h.mNode, h.mView))
                                            .toList());
            faults.start();
            int takeovers = mRandom.nextInt(4);
            for (int i = 0; i < takeovers; i++) {
                mTime.runFor(mRandom.nextLong(4 * VirtualTime.SECOND));
                new Holder(i + 2).work();
            }
            mTime.runFor(mRandom.nextLong(4 * VirtualTime.SECOND));
            mHolders.getLast().mIsLastHolder = true;
            mHolders.subList(0, mHolders.size() - 1).forEach(holder -> holder.mNode.kill());
            faults.end();
            mTime.runFor(20 * VirtualTime.SECOND);
            for (int key = 0; key < KEYS; key++) {
                assertTrue(mRunAttemptIds.containsKey("" + key), "key " + key + " stayed blocked");
            }
        }

        IntentOutcome begin(Holder holder, String digest, String attempt) {
            CompletableFuture<IntentOutcome> begun =
                    holder.mIntents.begin(
                            "o", "0", digest, attempt, 1, holder.randomDeadlineNanos());
            mTime.runFor(5 * VirtualTime.SECOND);
            return begun.join();
        }

        /** A process that acts as the holder of the shard. */
        private final class Holder {
            private final VirtualNode mNode = new VirtualNode(mTime);
            private final FakeStore.View mView = mStore.view(mNode);
            private final IntentStore mIntents;
            private final long mFence;
            private boolean mIsLastHolder;

            Holder(long fence) {
                mFence = fence;
                TimeLimitedTableStore table =
                        new TimeLimitedTableStore(mView, mNode, 3 * VirtualTime.SECOND);
                GroupCommit commit =
                        new GroupCommit(
                                table,
                                mView.objects(),
                                mNode,
                                mNode::nanos,
                                mNode.random(),
                                GroupCommitLimits.defaults(),
                                "turns/" + fence + "-");
                commit.start();
                mIntents = new IntentStore(table, mView.objects(), commit, mNode.random());
                mHolders.add(this);
            }

            /**
             * Begins calls at random times; their callers use the same few keys again and again.
             */
            void work() {
                String key = "" + mRandom.nextInt(KEYS);
                String attempt = "a" + mAttempts++;
                var _ =
                        mIntents.begin("o", key, "r" + key, attempt, mFence, randomDeadlineNanos())
                                .whenComplete((outcome, failure) -> onBegun(key, outcome));
                var _ = mNode.schedule(randomPauseNanos(), this::work);
            }

            private void onBegun(String key, IntentOutcome outcome) {
                if (outcome instanceof IntentOutcome.Started started) {
                    var _ =
                            mNode.schedule(
                                    randomPauseNanos(), () -> dispatch(key, started.intent()));
                } else if (outcome instanceof IntentOutcome.Finished finished) {
                    mTime.expect(
                            text(finished.answer()).equals(mRunAttemptIds.get(key)),
                            "answer of another run of key " + key);
                } else if (outcome instanceof IntentOutcome.UnknownOutcome unknown) {
                    queryTarget(key, unknown.attemptId());
                }
                mTime.expect(!(outcome instanceof IntentOutcome.Mismatch), "mismatch");
            }

            /**
             * Asks the target whether an attempt ran; if it did not, the target refuses it from now
             * on.
             */
            private void queryTarget(String key, String attempt) {
                if (attempt.equals(mRunAttemptIds.get(key))) {
                    return;
                }
                mRefusedAttemptIds.add(attempt);
                var _ = mIntents.abandonNotRun("o", key, attempt, randomDeadlineNanos());
            }

            private void dispatch(String key, Intent intent) {
                String attempt = intent.attemptId();
                boolean failsBeforeTheTarget = !mIsLastHolder && mRandom.nextInt(3) == 0;
                if (failsBeforeTheTarget || mRefusedAttemptIds.contains(attempt)) {
                    mRefusedAttemptIds.add(attempt);
                    var _ = mIntents.abandonNotRun("o", key, attempt, randomDeadlineNanos());
                    return;
                }
                String before = mRunAttemptIds.put(key, attempt);
                mTime.expect(before == null, "key " + key + " ran twice");
                finish(intent, 4);
            }

            private void finish(Intent intent, int attempts) {
                var _ =
                        mIntents.finish(intent, answer(intent.attemptId()), randomDeadlineNanos())
                                .whenComplete(
                                        (done, failure) -> {
                                            if (failure != null && attempts > 0) {
                                                finish(intent, attempts - 1);
                                            }
                                        });
            }

            private long randomDeadlineNanos() {
                return mNode.nanos() + 1 + mRandom.nextLong(3 * VirtualTime.SECOND);
            }

            private long randomPauseNanos() {
                return mRandom.nextLong(400 * VirtualTime.MILLI);
            }
        }
    }
}
