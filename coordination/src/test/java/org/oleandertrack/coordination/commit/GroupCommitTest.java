package org.oleandertrack.coordination.commit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.sim.FakeStore;
import org.oleandertrack.coordination.sim.VirtualNode;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TimeLimitedObjectStore;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.result.Execution;

final class GroupCommitTest {

    private final VirtualTime mTime = new VirtualTime(1);
    private final FakeStore mStore = new FakeStore(mTime);
    private final VirtualNode mNode = new VirtualNode(mTime);
    private final FakeStore.View mView = mStore.view(mNode);
    private GroupCommit mCommit = commit(GroupCommitLimits.defaults());

    /** Guards against delayed submissions while the rate limit allows transactions. */
    @Test
    void commitsAtOnceWithinTheRateLimit() {
        for (int i = 0; i < 20; i++) {
            CompletableFuture<CommitResult> future = create("k" + i, "v", 5);
            mTime.runFor(41 * VirtualTime.MILLI);
            assertTrue(future.isDone(), "submission " + i);
        }
        assertEquals(20, mStore.transactions());
    }

    /**
     * Guards against exceeding the platform's limit of transactions, and against lost submissions.
     */
    @Test
    void groupsSubmissionsBeyondTheRateLimit() {
        List<CompletableFuture<CommitResult>> futures = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            futures.add(create("k" + i, "v", 5));
            mTime.runFor(VirtualTime.MILLI);
        }
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(futures.stream().allMatch(future -> isApplied(future, 1)));
        assertTrue(mStore.transactions() <= 62, "transactions: " + mStore.transactions());
    }

    /** Guards against a conflict of one submission that fails the others in its transaction. */
    @Test
    void failedConditionFailsOnlyItsOwnSubmission() {
        mCommit = commit(GroupCommitLimits.defaults().withCommits(20, 1));
        mStore.overwrite("b", "other");
        CompletableFuture<CommitResult> first = create("a", "1", 5);
        CompletableFuture<CommitResult> second = create("b", "2", 5);
        CompletableFuture<CommitResult> third = create("c", "3", 5);
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(isApplied(first, 1));
        assertEquals(List.of(new WriteOutcome.Conflict(1)), second.join().outcomes());
        assertTrue(isApplied(third, 1));
        assertEquals(2, mStore.transactions());
    }

    /** Guards against two writes of one row in one transaction, whose result is undefined. */
    @Test
    void sameRowGoesToALaterTransaction() {
        mCommit = commit(GroupCommitLimits.defaults().withCommits(20, 1));
        var _ = create("x", "0", 5);
        CompletableFuture<CommitResult> first = create("a", "1", 5);
        CompletableFuture<CommitResult> second = create("a", "2", 5);
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(isApplied(first, 1));
        assertEquals(List.of(new WriteOutcome.Conflict(1)), second.join().outcomes());
        assertEquals(3, mStore.transactions());
    }

    /** Guards against a lost reply whose write is sent again and conflicts with itself. */
    @Test
    void lostReplyIsSettledByReadingBack() {
        mStore.setLostReplyShare(1);
        CompletableFuture<CommitResult> future = create("a", "1", 5);
        mTime.runFor(60 * VirtualTime.MILLI);
        mStore.healFaults();
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(isApplied(future, 1));
        assertEquals(1, mStore.transactions());
    }

    /** Guards against a write that is applied twice when its first copy arrives after a failure. */
    @Test
    void lateWriteIsAppliedOnce() {
        for (int i = 0; i < 50; i++) {
            String key = "k" + i;
            mStore.setMaxLatencyNanos(200 * VirtualTime.MILLI);
            mStore.setLateWriteShare(1);
            CompletableFuture<CommitResult> future = create(key, "1", 30);
            mTime.runFor(300 * VirtualTime.MILLI);
            mStore.healFaults();
            mTime.runFor(3 * VirtualTime.SECOND);
            assertTrue(isApplied(future, 1), key);
            assertEquals(1, mStore.row(key).orElseThrow().version());
        }
    }

    /** Guards against reporting a definite outcome after a lost reply and a write by another. */
    @Test
    void replacedRowAfterALostReplyIsUnknown() {
        mStore.setLostReplyShare(1);
        CompletableFuture<CommitResult> future = create("a", "1", 5);
        mTime.runFor(21 * VirtualTime.MILLI);
        mStore.overwrite("a", "2");
        mStore.healFaults();
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(Execution.UNKNOWN, execution(future));
    }

    /** Guards against submissions that are lost in an outage or fail before their deadline. */
    @Test
    void submissionIsCommittedAfterAnOutage() {
        mStore.setDown(true);
        CompletableFuture<CommitResult> future = create("a", "1", 60);
        mTime.runFor(30 * VirtualTime.SECOND);
        assertFalse(future.isDone());
        assertTrue(mCommit.isStoreFailing());
        mStore.healFaults();
        mTime.runFor(2 * VirtualTime.SECOND);
        assertTrue(isApplied(future, 1));
        assertFalse(mCommit.isStoreFailing());
    }

    /** Guards against refusing calls when only the replies to some writes of a host were lost. */
    @Test
    void lostRepliesAreNoOutage() {
        mStore.setLostReplyShare(3);
        CompletableFuture<CommitResult> future = create("a", "1", 5);
        mTime.afterEach(() -> assertFalse(mCommit.isStoreFailing()));
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(isApplied(future, 1));
    }

    /** Guards against calls that wait until their deadline when the store never answers. */
    @Test
    void unansweredRequestsAreAnOutage() {
        mView.setSilent(true);
        mCommit =
                new GroupCommit(
                        new TimeLimitedTableStore(mView, mNode, VirtualTime.SECOND),
                        new TimeLimitedObjectStore(mView.objects(), mNode, VirtualTime.SECOND),
                        mNode,
                        mNode::nanos,
                        mNode.random(),
                        GroupCommitLimits.defaults(),
                        "turns/n-");
        mCommit.start();
        var _ = create("a", "1", 60);
        mTime.runFor(1_001 * VirtualTime.MILLI);
        assertTrue(mCommit.isStoreFailing());
    }

    /**
     * Guards against NOT_RUN for a sent write that may still apply, and UNKNOWN for an unsent one.
     */
    @Test
    void deadlineTellsWhetherTheWriteWasSent() {
        mCommit = commit(GroupCommitLimits.defaults().withCommits(1, 1));
        mStore.setMaxLatencyNanos(30 * VirtualTime.SECOND);
        CompletableFuture<CommitResult> sent = create("a", "1", 1);
        CompletableFuture<CommitResult> queued = create("b", "1", 0);
        mTime.runFor(2 * VirtualTime.SECOND);
        assertEquals(Execution.UNKNOWN, execution(sent));
        assertEquals(Execution.NOT_RUN, execution(queued));
        mTime.runFor(100 * VirtualTime.SECOND);
        assertTrue(mStore.row("a").isPresent());
        assertTrue(mStore.row("b").isEmpty());
        assertEquals(0, mCommit.pendingCount());
    }

    /** Guards against memory use that grows without limit in an outage. */
    @Test
    void fullQueueRefusesAsNotRun() {
        mCommit = commit(GroupCommitLimits.defaults().withMaxPending(2, 2000));
        mStore.setDown(true);
        var _ = create("a", "1", 60);
        CompletableFuture<CommitResult> large = create("b", "x".repeat(1500), 60);
        assertEquals(Execution.NOT_RUN, execution(large));
        var _ = create("b", "1", 60);
        assertEquals(Execution.NOT_RUN, execution(create("c", "1", 60)));
    }

    /** Guards against a row with a location at which its record is not stored. */
    @Test
    void recordIsStoredBeforeTheRowThatNamesIt() {
        mCommit = commit(GroupCommitLimits.defaults().withCommits(20, 1));
        var _ = create("x", "0", 5);
        List<CompletableFuture<CommitResult>> futures = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String key = "k" + i;
            byte[] data = ("record " + i).getBytes(StandardCharsets.UTF_8);
            futures.add(
                    mCommit.submit(
                            data,
                            location -> List.of(ConditionalWrite.create(key, location.toString())),
                            deadlineNanos(5)));
        }
        mTime.afterEach(
                () ->
                        assertTrue(
                                mStore.rows("k").isEmpty()
                                        || mStore.object("turns/n-1").isPresent()));
        mTime.runFor(VirtualTime.SECOND);
        for (int i = 0; i < 3; i++) {
            RecordLocation location = futures.get(i).join().location().orElseThrow();
            assertEquals(location.toString(), mStore.row("k" + i).orElseThrow().value());
            byte[] object = mStore.object(location.batch()).orElseThrow();
            assertArrayEquals(
                    ("record " + i).getBytes(StandardCharsets.UTF_8),
                    Arrays.copyOfRange(
                            object, location.offset(), location.offset() + location.length()));
        }
        assertEquals(2, mStore.transactions());
    }

    /** Guards against unanswered requests that block later commits for ever. */
    @Test
    void unansweredRequestsDoNotBlockLaterCommits() {
        mView.setSilent(true);
        mCommit =
                new GroupCommit(
                        new TimeLimitedTableStore(mView, mNode, VirtualTime.SECOND),
                        new TimeLimitedObjectStore(mView.objects(), mNode, VirtualTime.SECOND),
                        mNode,
                        mNode::nanos,
                        mNode.random(),
                        GroupCommitLimits.defaults(),
                        "turns/n-");
        mCommit.start();
        for (int i = 0; i < 10; i++) {
            byte[] data = {1};
            String key = "k" + i;
            var _ =
                    mCommit.submit(
                            data,
                            location -> List.of(ConditionalWrite.create(key, "")),
                            deadlineNanos(2));
        }
        mTime.runFor(5 * VirtualTime.SECOND);
        mView.setSilent(false);
        CompletableFuture<CommitResult> later = create("later", "1", 5);
        mTime.runFor(2 * VirtualTime.SECOND);
        assertTrue(isApplied(later, 1));
    }

    /** Guards against accepting a deletion: after a lost reply its outcome cannot be determined. */
    @Test
    void deletionIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> mCommit.submit(List.of(ConditionalWrite.delete("a", 1)), deadlineNanos(1)));
    }

    /** Guards against a stop that abandons accepted submissions. */
    @Test
    void stopWaitsForAcceptedSubmissions() {
        CompletableFuture<CommitResult> future = create("a", "1", 5);
        CompletableFuture<Void> stopped = mCommit.stop();
        assertFalse(stopped.isDone());
        assertEquals(Execution.NOT_RUN, execution(create("b", "1", 5)));
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(stopped.isDone());
        assertTrue(isApplied(future, 1));
    }

    private GroupCommit commit(GroupCommitLimits limits) {
        GroupCommit commit =
                new GroupCommit(
                        mView,
                        mView.objects(),
                        mNode,
                        mNode::nanos,
                        mNode.random(),
                        limits,
                        "turns/n-");
        commit.start();
        return commit;
    }

    private CompletableFuture<CommitResult> create(String key, String value, int seconds) {
        return mCommit.submit(List.of(ConditionalWrite.create(key, value)), deadlineNanos(seconds));
    }

    private long deadlineNanos(int seconds) {
        return mNode.nanos() + seconds * VirtualTime.SECOND;
    }

    private static boolean isApplied(CompletableFuture<CommitResult> future, long version) {
        return future.isDone()
                && future.join().outcomes().equals(List.of(new WriteOutcome.Applied(version)));
    }

    private static Execution execution(CompletableFuture<?> future) {
        assertTrue(future.isCompletedExceptionally());
        return StoreFailures.executionOf(future.exceptionNow());
    }
}
