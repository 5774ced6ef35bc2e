package org.oleandertrack.coordination.stream;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowKeys;

/** Rows of origins. The part follows from the request's id, so any host finds it in one read. */
final class OriginRows {

    static final String TABLE = "stream-origins";

    // The store runs the transactions of a part one after another, 200 a second.
    private static final int PART_COUNT = 32;

    private OriginRows() {}

    /**
     * Value of a row.
     *
     * @param expiresMillis time from which the origin is not needed, in milliseconds since the
     *     epoch
     */
    record Value(String service, String softwareVersion, long expiresMillis) {

        StreamOrigin toOrigin() {
            return new StreamOrigin(service, softwareVersion);
        }
    }

    static Stream<String> parts() {
        return IntStream.range(0, PART_COUNT).mapToObj(OriginRows::part);
    }

    static RowId rowOf(String requestId) {
        return new RowId(
                TABLE,
                part(Math.floorMod(requestId.hashCode(), PART_COUNT)),
                RowKeys.ofId(requestId));
    }

    private static String part(int number) {
        return "s" + number;
    }
}
