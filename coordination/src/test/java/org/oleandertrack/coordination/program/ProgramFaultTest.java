package org.oleandertrack.coordination.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.commit.RecordLocation;
import org.oleandertrack.coordination.sim.FakeStore;
import org.oleandertrack.coordination.sim.FaultInjector;
import org.oleandertrack.coordination.sim.SeededRuns;
import org.oleandertrack.coordination.sim.VirtualNode;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.TimeLimitedTableStore;
import org.oleandertrack.core.program.HistoryDigest;

final class ProgramFaultTest {

    private static final int SCHEDULES_PER_TRY = 500;
    private static final long GRANT_TOKENS = 300;
    private static final long MAX_TURN_TOKENS = 400;

    /**
     * Guards against overspent budgets, against counting grants as spent under which no turn ran,
     * and against turns that are lost, repeated, reordered or mixed between programs, while several
     * processes act as holder of the program.
     */
    @Property(seed = "20261204", tries = 20, shrinking = ShrinkingMode.OFF)
    void budgetAndHistoryHoldUnderFaults(@ForAll long seed) {
        SeededRuns.run(seed, SCHEDULES_PER_TRY, drawn -> new Schedule(drawn).run());
    }

    private static final class Schedule {
        private final VirtualTime mTime;
        private final FakeStore mStore;
        private final Random mRandom;
        private final long mBudgetTokens;
        private final List<Holder> mHolders = new ArrayList<>();
        private final Map<String, String> mAcknowledged = new HashMap<>();
        // Tokens that the simulated turns have used, whether or not they were committed.
        private long mUsedTokens;
        // Upper bound of the number of grants that may count as spent although no turn used them.
        private int mGrantsAtRisk;

        Schedule(long seed) {
            mTime = new VirtualTime(seed);
            mStore = new FakeStore(mTime);
            mRandom = mTime.random();
            mBudgetTokens = mRandom.nextLong(1_000, 20_000);
            mTime.afterEach(
                    () ->
                            assertTrue(
                                    mUsedTokens <= mBudgetTokens,
                                    mUsedTokens + " of " + mBudgetTokens));
        }

        void run() {
            Holder first = new Holder(1);
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
            first.open();
            faults.start();
            int takeovers = mRandom.nextInt(4);
            for (int i = 0; i < takeovers; i++) {
                mTime.runFor(mRandom.nextLong(5 * VirtualTime.SECOND));
                // The former holder continues, as if its lease had not ended yet.
                new Holder(i + 2).open();
            }
            mTime.runFor(mRandom.nextLong(5 * VirtualTime.SECOND));
            faults.end();
            mTime.runFor(5 * VirtualTime.SECOND);
            mHolders.forEach(holder -> holder.mNode.kill());
            check();
        }

        private void check() {
            Map<String, String> committed = new HashMap<>();
            for (Row row : mStore.rows(ProgramKey.PREFIX)) {
                ProgramRow program = RowJson.decode(row, ProgramRow.class);
                assertTrue(program.spentTokens() + program.grantTokens() <= mBudgetTokens);
                String id = row.key().substring((ProgramKey.PREFIX + "o/").length());
                checkHistory(id, program, committed);
                if (id.equals("p")) {
                    long bound = mUsedTokens + mGrantsAtRisk * (GRANT_TOKENS + 2 * MAX_TURN_TOKENS);
                    assertTrue(program.spentTokens() <= bound, "grants lost twice");
                    assertTrue(
                            mUsedTokens <= program.spentTokens() + program.grantTokens(),
                            "spending forgotten");
                }
            }
            mAcknowledged.forEach((turn, answer) -> assertEquals(answer, committed.get(turn)));
        }

        /** Reads and checks the history from the last committed turn back to the first. */
        private void checkHistory(String id, ProgramRow program, Map<String, String> committed) {
            RecordLocation location = program.location();
            String digest = program.headDigest();
            for (long turn = program.headTurn(); turn > 0; turn--) {
                TurnRecord record = read(location, digest);
                assertEquals(turn, record.turn());
                assertEquals(id, record.program());
                committed.put(id + "#" + turn, record.answer());
                location = record.predecessor();
                digest = record.predecessorDigest();
            }
            assertEquals(HistoryDigest.EMPTY, digest);
        }

        private TurnRecord read(RecordLocation location, String digest) {
            byte[] object = mStore.object(location.batch()).orElseThrow();
            return ProgramStore.decodeVerified(object, location, digest);
        }

        /** A process that acts as the holder of the program's shard. */
        private final class Holder {
            private final VirtualNode mNode = new VirtualNode(mTime);
            private final FakeStore.View mView = mStore.view(mNode);
            private final ProgramStore mPrograms;
            private final long mFence;

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
                mPrograms =
                        new ProgramStore(
                                table, mView.objects(), commit, mNode.random(), GRANT_TOKENS);
                mHolders.add(this);
                // If a holder is replaced before its adoption is confirmed, a grant may be lost.
                mGrantsAtRisk++;
            }

            void open() {
                ProgramKey key = new ProgramKey("o", "p");
                var _ =
                        mPrograms
                                .adopt(key, mFence, randomDeadlineNanos())
                                .thenCompose(
                                        outcome ->
                                                outcome instanceof OpenOutcome.Missing
                                                        ? mPrograms.create(
                                                                key,
                                                                "c",
                                                                mBudgetTokens,
                                                                1,
                                                                mFence,
                                                                randomDeadlineNanos())
                                                        : CompletableFuture.completedFuture(
                                                                outcome))
                                .whenComplete((outcome, failure) -> onOpened(outcome));
            }

            private void onOpened(OpenOutcome outcome) {
                if (outcome instanceof OpenOutcome.Opened opened) {
                    mGrantsAtRisk++;
                    runTurn(opened.session(), "p");
                    var _ =
                            opened.session()
                                    .openSubAgent(
                                            new ProgramKey("o", "p/s"),
                                            "c",
                                            1,
                                            randomDeadlineNanos())
                                    .whenComplete(
                                            (child, failure) -> {
                                                if (child instanceof ProgramOutcome.Written) {
                                                    runTurn(opened.session(), "p/s");
                                                }
                                            });
                } else if (!(outcome instanceof OpenOutcome.Fenced)) {
                    var _ = mNode.schedule(randomPauseNanos(), this::open);
                }
            }

            private void runTurn(ProgramSession session, String id) {
                long worstCaseTokens = 1 + mRandom.nextLong(MAX_TURN_TOKENS);
                Optional<ProgramSession.Reservation> reservation = session.reserve(worstCaseTokens);
                if (reservation.isPresent()) {
                    long usedTokens = mRandom.nextLong(worstCaseTokens + 1);
                    mUsedTokens += usedTokens;
                    var _ =
                            mNode.schedule(
                                    randomPauseNanos(),
                                    () -> finish(session, id, reservation.get(), usedTokens));
                } else {
                    var _ =
                            session.extendGrant(worstCaseTokens, randomDeadlineNanos())
                                    .whenComplete((outcome, failure) -> continueTurns(session, id));
                }
            }

            private void continueTurns(ProgramSession session, String id) {
                if (session.isUsable()) {
                    var _ = mNode.schedule(randomPauseNanos(), () -> runTurn(session, id));
                } else if (id.equals("p")) {
                    var _ = mNode.schedule(randomPauseNanos(), this::open);
                }
            }

            private void finish(
                    ProgramSession session,
                    String id,
                    ProgramSession.Reservation reservation,
                    long usedTokens) {
                session.settle(reservation, usedTokens);
                long turn = session.row(id).orElseThrow().headTurn() + 1;
                String answer = "answer " + mRandom.nextLong();
                var _ =
                        session.commitTurn(
                                        new TurnCommit(id, turn, "r", "q", answer, false),
                                        randomDeadlineNanos())
                                .whenComplete(
                                        (outcome, failure) -> {
                                            if (outcome instanceof ProgramOutcome.Written) {
                                                String before =
                                                        mAcknowledged.put(id + "#" + turn, answer);
                                                mTime.expect(before == null, "committed twice");
                                            }
                                            continueTurns(session, id);
                                        });
            }

            private long randomDeadlineNanos() {
                return mNode.nanos() + 1 + mRandom.nextLong(4 * VirtualTime.SECOND);
            }

            private long randomPauseNanos() {
                return mRandom.nextLong(300 * VirtualTime.MILLI);
            }
        }
    }
}
