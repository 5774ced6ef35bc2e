package org.oleandertrack.core.config;

/**
 * Numeric attributes of a program class. They are documented in {@code docs/command-language.md}.
 */
public enum ClassAttribute implements NumericAttribute {
    /** Priority of the class; classes with lower values run first. */
    PRIORITY("priority", 0, 9, 5),
    /** Share of capacity relative to other classes of the same priority. */
    WEIGHT("weight", 1, 1_000, 1),
    /** Budget of a new program in tokens. The default covers 350 turns of 170,000 tokens. */
    BUDGET_TOKENS("budget-tokens", 1, 1_000_000_000_000L, 60_000_000),
    /** Number of turns after which a program is ended. */
    TURN_LIMIT("turn-limit", 1, 100_000, 350),
    /** Age of a program in seconds at which it is ended. */
    TIME_LIMIT_SECONDS("time-limit-seconds", 1, 2_592_000, 86_400),
    /** Number of repetitions of the same request body after which a program is ended. */
    REPETITION_LIMIT("repetition-limit", 1, 10_000, 10),
    /** Predicted wait in milliseconds above which a new program is refused. */
    MAX_WAIT_MILLIS("max-wait-millis", 0, 3_600_000, 10_000),
    /** Idle time in seconds after which a program's engine memory is freed. */
    IDLE_SECONDS("idle-seconds", 1, 86_400, 600),
    /** Number of long calls of the class that may run at one target at once. */
    LONG_CALLS("long-calls", 1, 10_000, 4);

    private final String mText;
    private final long mMin;
    private final long mMax;
    private final long mDefaultValue;

    ClassAttribute(String text, long min, long max, long defaultValue) {
        mText = text;
        mMin = min;
        mMax = max;
        mDefaultValue = defaultValue;
    }

    @Override
    public String text() {
        return mText;
    }

    @Override
    public long min() {
        return mMin;
    }

    @Override
    public long max() {
        return mMax;
    }

    @Override
    public long defaultValue() {
        return mDefaultValue;
    }
}
