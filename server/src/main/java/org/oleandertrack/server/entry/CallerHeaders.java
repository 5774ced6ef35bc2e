package org.oleandertrack.server.entry;

import java.util.Locale;

/** Names of the headers that callers use. */
final class CallerHeaders {

    static final String PREFIX = "Oleandertrack-";
    static final String ORGANISATION = PREFIX + "Organisation";
    static final String PROGRAM_CLASS = PREFIX + "Class";
    static final String PROGRAM = PREFIX + "Program";
    static final String TURN = PREFIX + "Turn";
    static final String PARENT = PREFIX + "Parent";
    static final String BUDGET_TOKENS = PREFIX + "Budget-Tokens";
    static final String DEADLINE_MILLIS = PREFIX + "Deadline-Ms";
    static final String REPEATABLE = PREFIX + "Repeatable";
    static final String END = PREFIX + "End";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private CallerHeaders() {}

    /**
     * Tells whether a header is not passed on to the target: {@code Accept-Encoding} and all
     * headers whose names begin with {@link #PREFIX}.
     */
    static boolean isWithheldFromTarget(String name) {
        return name.regionMatches(true, 0, PREFIX, 0, PREFIX.length())
                || name.toLowerCase(Locale.ROOT).equals("accept-encoding");
    }
}
