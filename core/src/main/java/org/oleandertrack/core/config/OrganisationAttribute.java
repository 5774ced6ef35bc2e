package org.oleandertrack.core.config;

/**
 * The numeric attributes of an organisation. The page {@code docs/command-language.md} lists them.
 */
public enum OrganisationAttribute implements NumericAttribute {
    /** Share of capacity relative to other organisations. */
    WEIGHT("weight", 1, 1_000, 1),
    /** Programs that may be under way at once. The default is the most, so it limits nothing. */
    MAX_RUNNING("max-running", 1, 1_000_000, 1_000_000),
    /** Tokens that all programs may spend together. The default is the most. */
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
