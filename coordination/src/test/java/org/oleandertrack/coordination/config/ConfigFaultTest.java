package org.oleandertrack.coordination.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
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
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;

final class ConfigFaultTest {

    private static final int SCHEDULES_PER_TRY = 500;

    /**
     * Guards against a configuration that reverts or skips a version, two accepted changes with the
     * same version, an accepted change that is lost, a refused change that is made, a change that
     * is made twice, and a version that is confirmed although it is not the latest.
     */
    @Property(seed = "20261204", tries = 20, shrinking = ShrinkingMode.OFF)
    void logHoldsUnderFaults(@ForAll long seed) {
        SeededRuns.run(seed, SCHEDULES_PER_TRY, drawn -> new Schedule(drawn).run());
    }

    /**
     * Guards against a start that reads the whole log, and a snapshot that differs from the log.
     */
    @Test
    void newProcessStartsFromTheSnapshot() {
        Schedule schedule = new Schedule(1);
        Schedule.Instance first = schedule.new Instance(1);
        for (int i = 0; i < 300; i++) {
            schedule.append(first);
            schedule.mTime.runFor(VirtualTime.SECOND / 10);
        }
        schedule.mTime.runFor(20 * VirtualTime.SECOND);
        assertEquals(300, first.mLog.version());
        Schedule.Instance second = schedule.new Instance(1);
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertEquals(first.mApplied, second.mApplied);
        assertEquals(257, second.mDeliveredVersions.getFirst());
        assertTrue(second.mLog.changesAfter(255).isEmpty());
        assertEquals(44, second.mLog.changesAfter(256).orElseThrow().size());
    }

    /**
     * Guards against a process that stays without configuration if the store is down at its start.
     */
    @Test
    void processStartsFromAPeerWhileTheStoreIsDown() {
        Schedule schedule = new Schedule(2);
        Schedule.Instance first = schedule.new Instance(1);
        schedule.mTime.runFor(VirtualTime.SECOND);
        schedule.append(first);
        schedule.mTime.runFor(VirtualTime.SECOND);
        schedule.mStore.setDown(true);
        Schedule.Instance second = schedule.new Instance(1);
        schedule.mTime.runFor(5 * VirtualTime.SECOND);
        assertEquals(Long.MAX_VALUE, second.mLog.confirmedAgeMillis());
        assertTrue(second.mLog.onPeerVersion(1, 0));
        second.mLog.offerSnapshot(first.mLog.snapshot());
        assertFalse(second.mLog.onPeerVersion(1, first.mLog.confirmedAgeMillis()));
        assertEquals(first.mApplied, second.mApplied);
        assertTrue(second.mLog.confirmedAgeMillis() >= 5_000);
        assertTrue(second.mLog.confirmedAgeMillis() < 7_000);
    }

    /** Guards against a change that is refused because it was accepted through another process. */
    @Test
    void sameChangeThroughTwoProcessesIsAcceptedOnce() {
        Schedule schedule = new Schedule(4);
        Schedule.Instance first = schedule.new Instance(1);
        Schedule.Instance second = schedule.new Instance(1);
        schedule.mTime.runFor(VirtualTime.SECOND);
        long deadline = first.mNode.nanos() + VirtualTime.SECOND;
        var one = first.mLog.append(0, "set x", "operator", "x", deadline);
        deadline = second.mNode.nanos() + VirtualTime.SECOND;
        var two = second.mLog.append(0, "set x", "operator", "x", deadline);
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertEquals(new AppendOutcome.Accepted(1), one.join());
        assertEquals(new AppendOutcome.Accepted(1), two.join());
        deadline = second.mNode.nanos() + VirtualTime.SECOND;
        var other = second.mLog.append(0, "set y", "operator", "y", deadline);
        schedule.mTime.runFor(VirtualTime.SECOND);
        assertEquals(new AppendOutcome.Conflict(1), other.join());
        assertEquals(1, schedule.mStore.rows(ConfigChange.PREFIX).size());
    }

    /** Guards against a rate of polls that grows with the number of processes. */
    @Test
    void pollersShareTheRate() {
        Schedule schedule = new Schedule(3);
        Schedule.Instance alone = schedule.new Instance(1);
        Schedule.Instance shared = schedule.new Instance(10);
        schedule.mTime.runFor(50 * VirtualTime.SECOND);
        assertTrue(alone.mPolls >= 95 && alone.mPolls <= 120, "polls: " + alone.mPolls);
        assertTrue(shared.mPolls >= 9 && shared.mPolls <= 13, "polls: " + shared.mPolls);
    }

    private static final class Schedule {
        private final VirtualTime mTime;
        private final FakeStore mStore;
        private final Random mRandom;
        private final List<Instance> mProcesses = new ArrayList<>();
        private final List<Long> mCreatedNanos = new ArrayList<>();
        private final Map<Long, String> mAcceptedIds = new HashMap<>();
        // Ids of changes that were refused and not sent again.
        private final Set<String> mRefusedIds = new HashSet<>();
        private int mChanges;

        Schedule(long seed) {
            mTime = new VirtualTime(seed);
            mStore = new FakeStore(mTime);
            mRandom = mTime.random();
            mTime.afterEach(this::check);
        }

        void run() {
            for (int i = 0; i < 3; i++) {
                new Instance(1 + mRandom.nextInt(3)).operate();
            }
            FaultInjector faults =
                    new FaultInjector(
                            mTime,
                            mStore,
                            () ->
                                    mProcesses.stream()
                                            .map(
                                                    p ->
                                                            new FaultInjector.SimProcess(
                                                                    p.mNode, p.mView))
                                            .toList());
            faults.start();
            mTime.runFor(mRandom.nextLong(10 * VirtualTime.SECOND));
            new Instance(1).operate();
            mTime.runFor(mRandom.nextLong(10 * VirtualTime.SECOND));
            mProcesses.forEach(process -> process.mOperating = false);
            faults.end();
            mTime.runFor(10 * VirtualTime.SECOND);
            checkLog();
        }

        void append(Instance process) {
            process.append(process.mLog.version(), "change " + mChanges++, 3);
        }

        private void check() {
            while (mStore.row(ConfigChange.key(mCreatedNanos.size() + 1L)).isPresent()) {
                mCreatedNanos.add(mTime.nowNanos());
            }
            for (Instance process : mProcesses) {
                process.check();
            }
        }

        private void checkLog() {
            List<String> log = new ArrayList<>();
            for (Row row : mStore.rows(ConfigChange.PREFIX)) {
                log.add(RowJson.decode(row, ConfigChange.class).changeId());
            }
            assertEquals(log.size(), new HashSet<>(log).size(), "a change was made twice");
            mAcceptedIds.forEach((v, id) -> assertEquals(id, log.get((int) (v - 1)), "lost"));
            assertTrue(Collections.disjoint(log, mRefusedIds), "a refused change was made");
            for (Instance process : mProcesses) {
                assertEquals(log, process.mApplied, "not in force everywhere");
            }
        }

        /** A process with its log, which also acts for an operator and for its peers. */
        private final class Instance implements ConfigReplica {
            private final VirtualNode mNode = new VirtualNode(mTime);
            private final FakeStore.View mView = mStore.view(mNode);
            private final ConfigLog mLog;
            // Versions of the changes that the listener received.
            private final List<Long> mDeliveredVersions = new ArrayList<>();
            private List<String> mApplied = new ArrayList<>();
            private boolean mOperating = true;
            private int mPolls;
            private long mLastVersion;

            Instance(int pollers) {
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
                                "turns/" + mProcesses.size() + "-");
                commit.start();
                mLog =
                        new ConfigLog(
                                table,
                                new SnapshotStore(
                                        table,
                                        mView.objects(),
                                        commit,
                                        mNode::nanos,
                                        mNode.random()),
                                commit,
                                mNode,
                                mNode::nanos,
                                mNode.random(),
                                ConfigSettings.defaults(),
                                () -> {
                                    mPolls++;
                                    return pollers;
                                },
                                this,
                                change -> mDeliveredVersions.add(change.version()));
                mProcesses.add(this);
                mLog.start();
            }

            @Override
            public void apply(ConfigChange change) {
                mTime.expect(change.version() == mApplied.size() + 1, "version out of order");
                mApplied.add(change.changeId());
            }

            @Override
            public byte[] encode() {
                return String.join("\n", mApplied).getBytes(StandardCharsets.UTF_8);
            }

            @Override
            public void restore(ConfigSnapshot snapshot) {
                String text = new String(snapshot.data(), StandardCharsets.UTF_8);
                mApplied = new ArrayList<>(text.isEmpty() ? List.of() : List.of(text.split("\n")));
                mTime.expect(mApplied.size() == snapshot.version(), "another state");
            }

            /** Appends changes and receives messages of peers at random times. */
            void operate() {
                if (!mOperating) {
                    return;
                }
                Instance peer = mProcesses.get(mRandom.nextInt(mProcesses.size()));
                switch (mRandom.nextInt(4)) {
                    case 0 -> Schedule.this.append(this);
                    case 1 -> {
                        List<ConfigChange> changes =
                                new ArrayList<>(peer.mLog.changesAfter(0).orElse(List.of()));
                        if (mRandom.nextBoolean()) {
                            Collections.shuffle(changes, mRandom);
                        }
                        deliverLater(() -> mLog.offerChanges(changes));
                    }
                    case 2 -> {
                        ConfigSnapshot snapshot = peer.mLog.snapshot();
                        deliverLater(() -> mLog.offerSnapshot(snapshot));
                    }
                    default -> {
                        long version = peer.mLog.version();
                        long age = peer.mLog.confirmedAgeMillis();
                        deliverLater(() -> confirm(version, age));
                    }
                }
                var _ = mNode.schedule(mRandom.nextLong(VirtualTime.SECOND), this::operate);
            }

            // The longest delay of a message to a process that is not paused is 300 ms.
            private void confirm(long version, long age) {
                mLog.onPeerVersion(version, age == Long.MAX_VALUE ? age : age + 300);
            }

            private void deliverLater(Runnable task) {
                var _ =
                        mTime.schedule(
                                mRandom.nextLong(300 * VirtualTime.MILLI),
                                () -> {
                                    if (!mNode.isPaused()) {
                                        task.run();
                                    }
                                });
            }

            private void append(long replaced, String id, int retries) {
                long deadline = mNode.nanos() + 1 + mRandom.nextLong(3 * VirtualTime.SECOND);
                var _ =
                        mLog.append(replaced, "set " + id, "operator", id, deadline)
                                .whenComplete(
                                        (outcome, failure) ->
                                                onAppended(replaced, id, outcome, retries));
            }

            private void onAppended(long replaced, String id, AppendOutcome outcome, int retries) {
                if (outcome instanceof AppendOutcome.Accepted accepted) {
                    String before = mAcceptedIds.put(accepted.version(), id);
                    mTime.expect(before == null || before.equals(id), "version accepted twice");
                } else if (outcome instanceof AppendOutcome.Unknown && retries > 0) {
                    // The operator repeats the change at another process.
                    Instance other = mProcesses.get(mRandom.nextInt(mProcesses.size()));
                    long again = mRandom.nextBoolean() ? replaced : other.mLog.version();
                    other.append(again, id, retries - 1);
                } else if (retries == 3) {
                    mRefusedIds.add(id);
                }
            }

            private void check() {
                long version = mLog.version();
                assertTrue(version >= mLastVersion, "version " + mLastVersion + " reverted");
                mLastVersion = version;
                assertEquals(version, mApplied.size());
                long age = mLog.confirmedAgeMillis();
                if (age < 60_000 && version < mCreatedNanos.size()) {
                    long confirmed = mTime.nowNanos() - age * VirtualTime.MILLI;
                    long nextCreated = mCreatedNanos.get((int) version);
                    assertTrue(
                            nextCreated + 5 * VirtualTime.MILLI >= confirmed,
                            "confirmed after version " + (version + 1) + " was created");
                }
            }
        }
    }
}
