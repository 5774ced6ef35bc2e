package org.oleandertrack.core.config;

/**
 * Numeric attributes of an organisation. They are documented in {@code docs/command-language.md}.
 */
public enum OrganisationAttribute implements NumericAttribute {
    /** Weight of the organisation when capacity is shared between organisations. */
    WEIGHT("weight", 1, 1_000, 1),
    /** Number of programs that may run at once. The default is the maximum and limits nothing. */
    MAX_RUNNING("max-running", 1, 1_000_000, 1_000_000),
    /** Number of tokens that all programs together may spend. The default is the maximum. */
    BUDGET_TOKENS("budget-tokens", 1, 1_000_000_000_000_000L, 1_000_000_000_000_000L);

    private final String mText;
    private final long mMin;
    private final long mMax;
    private final long mDefaultValue;

    OrganisationAttribute(String text, long min, long max, long defaultValue) {
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
