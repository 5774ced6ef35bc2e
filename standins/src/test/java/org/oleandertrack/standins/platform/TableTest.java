package org.oleandertrack.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.platform.Table.Outcome;
import org.oleandertrack.standins.platform.Table.Write;

class TableTest {

    private final Table mTable = new Table();

    /** Guards against a failed condition that takes the other writes of the request with it. */
    @Test
    void eachWriteHasItsOwnCondition() {
        mTable.write(List.of(put("a", 0, "1")));

        List<Outcome> outcomes =
                mTable.write(List.of(put("a", 7, "2"), put("b", 0, "3"), put("c", 1, "4")));

        assertEquals(
                List.of(new Outcome(false, 1), new Outcome(true, 1), new Outcome(false, 0)),
                outcomes);
        assertEquals("1", mTable.get("a").orElseThrow().value());
        assertEquals(Optional.empty(), mTable.get("c"));
    }

    /** Guards against two writers that both succeed on the same version. */
    @Test
    void secondWriteOnTheSameVersionConflicts() {
        mTable.write(List.of(put("a", 0, "1")));

        assertEquals(List.of(new Outcome(true, 2)), mTable.write(List.of(put("a", 1, "2"))));
        assertEquals(List.of(new Outcome(false, 2)), mTable.write(List.of(put("a", 1, "3"))));
    }

    /** Guards against a deletion that ignores its condition or leaves the row behind. */
    @Test
    void deletionIsConditionalAndTheNextRowStartsAtVersionOne() {
        mTable.write(List.of(put("a", 0, "1")));
        Write wrong = new Write("a", 5, Optional.empty());
        Write right = new Write("a", 1, Optional.empty());

        assertEquals(List.of(new Outcome(false, 1)), mTable.write(List.of(wrong)));
        assertEquals(List.of(new Outcome(true, 0)), mTable.write(List.of(right)));
        assertEquals(List.of(new Outcome(true, 1)), mTable.write(List.of(put("a", 0, "2"))));
    }

    /** Guards against a scan that repeats the key it continues after or leaves its prefix. */
    @Test
    void scanContinuesAfterAKeyWithinThePrefix() {
        mTable.write(
                List.of(put("a", 0, ""), put("p/1", 0, ""), put("p/2", 0, ""), put("p/3", 0, "")));
        mTable.write(List.of(put("q", 0, "")));

        assertEquals(List.of("p/1", "p/2"), keys(mTable.scan("p/", "", 2)));
        assertEquals(List.of("p/3"), keys(mTable.scan("p/", "p/2", 2)));
        assertEquals(List.of("p/1"), keys(mTable.scan("p/", "a", 1)));
        assertEquals(List.of(), keys(mTable.scan("p/", "p/3", 2)));
        assertEquals(List.of(), keys(mTable.scan("p/", "z", 2)));
    }

    private static Write put(String key, long expectedVersion, String value) {
        return new Write(key, expectedVersion, Optional.of(value));
    }

    private static List<String> keys(List<Table.Row> rows) {
        return rows.stream().map(Table.Row::key).toList();
    }
}
