package org.oleandertrack.system.scenario;

/** A lower, upper or exact bound of a count. */
record Bound(Kind kind, long value) {

    enum Kind {
        AT_LEAST,
        AT_MOST,
        EXACTLY
    }

    boolean isMetBy(long count) {
        return switch (kind) {
            case AT_LEAST -> count >= value;
            case AT_MOST -> count <= value;
            case EXACTLY -> count == value;
        };
    }
}
