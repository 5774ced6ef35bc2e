package org.oleandertrack.coordination.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.sim.FakeStore;
import org.oleandertrack.coordination.sim.VirtualNode;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.core.result.Execution;

final class ProgramStoreTest {

    private static final ProgramKey KEY = new ProgramKey("o", "p");
    private static final long GRANT_TOKENS = 100;

    private VirtualTime mTime;
    private FakeStore mStore;
    private VirtualNode mNode;
    private ProgramStore mPrograms;

    ProgramStoreTest() {
        start(1);
    }

    private void start(long seed) {
        mTime = new VirtualTime(seed);
        mStore = new FakeStore(mTime);
        mNode = new VirtualNode(mTime);
        mPrograms = programs("turns/a-");
    }

    private ProgramStore programs(String batchPrefix) {
        FakeStore.View view = mStore.view(mNode);
        GroupCommit commit =
                new GroupCommit(
                        view,
                        view.objects(),
                        mNode,
                        mNode::nanos,
                        mNode.random(),
                        GroupCommitLimits.defaults(),
                        batchPrefix);
        commit.start();
        return new ProgramStore(view, view.objects(), commit, mNode.random(), GRANT_TOKENS);
    }

    /** Guards against counting one more grant as spent with each adoption whose reply was lost. */
    @Test
    void unconfirmedAdoptionsLoseOneGrant() {
        create();
        ProgramStore next = programs("turns/b-");
        mStore.setLostReplyShare(1);
        for (int i = 0; i < 5; i++) {
            var adoption = next.adopt(KEY, 2, mNode.nanos() + 41 * VirtualTime.MILLI);
            mTime.runFor(VirtualTime.SECOND);
            assertTrue(adoption.isCompletedExceptionally());
        }
        mStore.healFaults();
        ProgramRow row = session(next.adopt(KEY, 2, deadlineNanos())).row("p").orElseThrow();
        assertEquals(GRANT_TOKENS, row.spentTokens());
    }

    /** Guards against counting a grant as spent whose adoption took effect after its deadline. */
    @Test
    void lateAdoptionLosesOneGrant() {
        int lateAdoptions = 0;
        for (int seed = 0; seed < 300; seed++) {
            start(seed);
            create();
            ProgramStore next = programs("turns/b-");
            mStore.setLateWriteShare(1);
            var first = next.adopt(KEY, 2, mNode.nanos() + 45 * VirtualTime.MILLI);
            mTime.runFor(46 * VirtualTime.MILLI);
            assertTrue(first.isDone());
            mStore.healFaults();
            lateAdoptions += mStore.row(KEY.rowKey()).orElseThrow().version() == 1 ? 1 : 0;
            ProgramSession session = session(next.adopt(KEY, 2, deadlineNanos()));
            // If the first adoption was confirmed in time, its own grant counts as spent too.
            long lostGrants = first.isCompletedExceptionally() ? 1 : 2;
            assertEquals(lostGrants * GRANT_TOKENS, session.row("p").orElseThrow().spentTokens());
        }
        assertNotEquals(0, lateAdoptions);
    }

    /** Guards against replaying a wrong answer, or that of another turn, as the last answer. */
    @Test
    void lastAnswerIsReadBackAndCheckedAgainstItsDigest() {
        ProgramSession session = create();
        ProgramRow first = commit(session, "p", 1, "one");
        ProgramRow second = commit(session, "p", 2, "two");
        assertEquals("two", await(mPrograms.readTurn(second)).orElseThrow().answer());
        assertEquals("one", await(mPrograms.readTurn(first)).orElseThrow().answer());
        CompletableFuture<Optional<TurnRecord>> mixed =
                mPrograms.readTurn(first.location(), second.headDigest());
        mTime.runFor(VirtualTime.SECOND);
        assertInstanceOf(
                IllegalStateException.class,
                assertThrows(CompletionException.class, mixed::join).getCause());
    }

    /**
     * Guards against not counting tokens of a turn that was not committed, and ending the session.
     */
    @Test
    void turnThatWasNotCommittedStaysSpent() {
        ProgramSession session = create();
        ProgramSession.Reservation reservation = session.reserve(60).orElseThrow();
        session.settle(reservation, 50);
        mStore.setDown(true);
        var late = session.commitTurn(turn("p", 1, "lost"), mNode.nanos());
        mTime.runFor(VirtualTime.SECOND);
        mStore.healFaults();
        assertEquals(Execution.NOT_RUN, StoreFailures.executionOf(late.exceptionNow()));
        assertTrue(session.isUsable());
        assertTrue(session.reserve(51).isEmpty());
        assertEquals(50, commit(session, "p", 1, "kept").spentTokens());
    }

    /** Guards against running turns of a program whose state in the store is unknown. */
    @Test
    void unknownOutcomeEndsTheSession() {
        ProgramSession session = create();
        mStore.setLostReplyShare(1);
        var unknown = session.extendGrant(200, deadlineNanos());
        mTime.runFor(20 * VirtualTime.MILLI);
        mStore.setDown(true);
        mTime.runFor(2 * VirtualTime.SECOND);
        assertEquals(Execution.UNKNOWN, StoreFailures.executionOf(unknown.exceptionNow()));
        assertFalse(session.isUsable());
        assertTrue(session.reserve(1).isEmpty());
    }

    /**
     * Guards against a sub-agent that is not charged to its root's budget or keeps a lost session.
     */
    @Test
    void subAgentSharesBudgetAndOwnership() {
        ProgramSession session = create();
        ProgramKey child = new ProgramKey("o", "p/s");
        await(session.openSubAgent(child, "c", 1, deadlineNanos()));
        session.settle(session.reserve(40).orElseThrow(), 40);
        commit(session, "p/s", 1, "child");
        assertEquals(40, session.row("p").orElseThrow().spentTokens());
        session(programs("turns/b-").adopt(KEY, 2, deadlineNanos()));
        var outcome = session.commitTurn(turn("p", 1, "root"), deadlineNanos());
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(new ProgramOutcome.OwnershipLost(), outcome.join());
        assertFalse(session.isUsable());
    }

    /** Guards against a former holder that adopts a program again with a lower fencing number. */
    @Test
    void lowerFenceCannotAdopt() {
        create();
        session(mPrograms.adopt(KEY, 5, deadlineNanos()));
        assertEquals(new OpenOutcome.Fenced(5), await(mPrograms.adopt(KEY, 4, deadlineNanos())));
    }

    /** Guards against turns after the end, and against two programs with the same row key. */
    @Test
    void endedProgramTakesNoTurn() {
        ProgramSession session = create();
        await(session.end("p", deadlineNanos()));
        var refused = session.commitTurn(turn("p", 1, "a"), deadlineNanos());
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(Execution.NOT_RUN, StoreFailures.executionOf(refused.exceptionNow()));
        assertNotEquals(new ProgramKey("a/b", "c").rowKey(), new ProgramKey("a", "b/c").rowKey());
    }

    private ProgramSession create() {
        return session(mPrograms.create(KEY, "c", 10_000, 1, 1, deadlineNanos()));
    }

    private ProgramRow commit(ProgramSession session, String program, long turn, String answer) {
        return assertInstanceOf(
                        ProgramOutcome.Written.class,
                        await(session.commitTurn(turn(program, turn, answer), deadlineNanos())))
                .row();
    }

    private ProgramSession session(CompletableFuture<OpenOutcome> opening) {
        return assertInstanceOf(OpenOutcome.Opened.class, await(opening)).session();
    }

    private <T> T await(CompletableFuture<T> future) {
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(future.isDone());
        return future.join();
    }

    private long deadlineNanos() {
        return mNode.nanos() + VirtualTime.SECOND;
    }

    private static TurnCommit turn(String program, long turn, String answer) {
        return new TurnCommit(program, turn, "digest", "request", answer, false);
    }
}
