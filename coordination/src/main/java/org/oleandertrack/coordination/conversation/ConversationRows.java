package org.oleandertrack.coordination.conversation;

import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowKeys;

/**
 * Tables, parts and keys of kept turns. A turn's part follows from its id, so that any host finds
 * it in one read. The table of due times has a row for each turn, ordered by the time when the turn
 * may be removed, so that expired turns are found without reading the others.
 */
final class ConversationRows {

    static final String TURN_TABLE = "turns";
    static final String DUE_TABLE = "turns-due";

    // The store runs the transactions of a part one after another, 200 a second.
    private static final int PART_COUNT = 32;

    /**
     * Number of parts in which a turn may be. The store may be unavailable for some parts only: one
     * third of them in an outage that was observed, so that four are all affected once in 80 times.
     */
    static final int PART_CHOICES = 4;

    // Sorts before all other characters of a key, so that the rows of a turn follow each other.
    private static final char PIECE_SEPARATOR = ' ';
    private static final int DUE_SECONDS_DIGITS = 12;

    private ConversationRows() {}

    static Stream<String> parts() {
        return IntStream.range(0, PART_COUNT).mapToObj(number -> "t" + number);
    }

    /**
     * Returns the id of a row of a turn.
     *
     * @param choice number of the part, from 0, the usual one, to {@link #PART_CHOICES} - 1
     * @param piece number of the row; 0 is the first one
     */
    static RowId turnRow(String turnId, int choice, int piece) {
        return new RowId(TURN_TABLE, part(turnId, choice), pieceKey(RowKeys.ofId(turnId), piece));
    }

    /** Returns the id of the row that states when a turn may be removed from a part. */
    static RowId dueRow(String turnId, int choice, long dueSeconds) {
        return new RowId(
                DUE_TABLE, part(turnId, choice), formatSeconds(dueSeconds) + RowKeys.ofId(turnId));
    }

    /** Returns whether a row of due times has the given time or an earlier one. */
    static boolean isDue(RowId dueRow, long nowSeconds) {
        return dueRow.key().compareTo(formatSeconds(nowSeconds)) < 0;
    }

    /** Returns the id of a row of the turn to which a row of due times belongs. */
    static RowId turnRow(RowId dueRow, int piece) {
        String key = dueRow.key().substring(DUE_SECONDS_DIGITS);
        return new RowId(TURN_TABLE, dueRow.part(), pieceKey(key, piece));
    }

    // The distance between a turn's parts is odd, so that they differ and vary between turns.
    private static String part(String turnId, int choice) {
        int hash = turnId.hashCode();
        int distance = 1 + 2 * Math.floorMod(hash / PART_COUNT, PART_COUNT / 2);
        return "t" + Math.floorMod(hash + choice * distance, PART_COUNT);
    }

    private static String pieceKey(String key, int piece) {
        return piece == 0 ? key : key + PIECE_SEPARATOR + String.format(Locale.ROOT, "%05d", piece);
    }

    private static String formatSeconds(long seconds) {
        return String.format(Locale.ROOT, "%0" + DUE_SECONDS_DIGITS + "d", seconds);
    }
}
