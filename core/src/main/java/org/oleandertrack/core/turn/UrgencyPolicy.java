package org.oleandertrack.core.turn;

import java.util.OptionalLong;

/**
 * Ranks turns for the queues of engines, which admit turns of a lower rank first. The order is: the
 * priority; turns of programs under way that have little slack, then other turns of programs under
 * way, then first turns of programs. Turns of programs that can no longer end in time come last.
 *
 * <p>For every sixteen turns that were ranked before the turns of a rank, one turn of that rank is
 * ranked first, so that it gets a small part of the engines' time under any overload. Thread-safe.
 */
public final class UrgencyPolicy {

    /** Rank of the most urgent turns. */
    public static final int FIRST_RANK = 0;

    /** Rank of the turns of programs that can no longer end in time. */
    public static final int LAST_RANK = 9;

    // Lower priorities, which have larger numbers, count as this one.
    private static final int MAX_PRIORITY = 2;
    private static final int RANKS_PER_PRIORITY = 3;
    private static final int LITTLE_SLACK = 0;
    private static final int UNDER_WAY = 1;
    private static final int NEW_PROGRAM = 2;
    // A program has little slack if it is less than the time of this many turns like the present
    // one: the number of turns that follow is not known, and programs have four turns on average.
    private static final int TURNS_AHEAD = 3;
    // Turns of better rank after which a turn is ranked first. At most a sixteenth of the time of
    // more urgent turns is thereby given to each rank.
    private static final int OVERTAKEN_TURNS = 16;

    // Per rank, number of turns of better rank since the last turn that was ranked first instead.
    private final int[] mOvertakenBy = new int[LAST_RANK + 1];

    /**
     * A turn to be ranked.
     *
     * @param priority priority of the turn's organisation or route; 0 is the most urgent
     * @param programUnderWay whether an earlier turn of its program is known
     * @param programRemainingMillis time left until the program should end, in milliseconds; empty
     *     if none is stated
     * @param predictedMillis predicted time of the turn at its engine, in milliseconds
     */
    public record Turn(
            int priority,
            boolean programUnderWay,
            OptionalLong programRemainingMillis,
            long predictedMillis) {

        /** Returns the time that is left after the turn's predicted end, in milliseconds. */
        public OptionalLong slackMillis() {
            return programRemainingMillis.isPresent()
                    ? OptionalLong.of(programRemainingMillis.getAsLong() - predictedMillis)
                    : OptionalLong.empty();
        }
    }

    /**
     * Returns the rank of a turn that is sent now, from {@link #FIRST_RANK} to {@link #LAST_RANK}.
     */
    public synchronized int rank(Turn turn) {
        int rank = ordinaryRank(turn);
        if (mOvertakenBy[rank] >= OVERTAKEN_TURNS) {
            mOvertakenBy[rank] = 0;
            return FIRST_RANK;
        }
        for (int later = rank + 1; later <= LAST_RANK; later++) {
            mOvertakenBy[later] = Math.min(mOvertakenBy[later] + 1, OVERTAKEN_TURNS);
        }
        return rank;
    }

    private static int ordinaryRank(Turn turn) {
        OptionalLong slackMillis = turn.slackMillis();
        if (slackMillis.isPresent() && slackMillis.getAsLong() < 0) {
            return LAST_RANK;
        }
        int firstOfPriority = Math.clamp(turn.priority(), 0, MAX_PRIORITY) * RANKS_PER_PRIORITY;
        if (!turn.programUnderWay()) {
            return firstOfPriority + NEW_PROGRAM;
        }
        boolean hasLittleSlack =
                slackMillis.isPresent()
                        && slackMillis.getAsLong() < TURNS_AHEAD * turn.predictedMillis();
        return firstOfPriority + (hasLittleSlack ? LITTLE_SLACK : UNDER_WAY);
    }
}
