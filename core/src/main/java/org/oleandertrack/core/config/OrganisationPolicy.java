package org.oleandertrack.core.config;

import java.util.EnumMap;
import java.util.Objects;

/** What an organisation may use. Immutable. */
public final class OrganisationPolicy {

    private final String mName;
    private final EnumMap<OrganisationAttribute, Long> mValues;

    private OrganisationPolicy(String name, EnumMap<OrganisationAttribute, Long> values) {
        mName = name;
        mValues = values;
    }

    // Life-cycle

    /** Returns the policy of an organisation for which nothing was set. */
    public static OrganisationPolicy defaults(String name) {
        if (!Names.isOrganisation(name)) {
            throw new IllegalArgumentException("organisation name " + name);
        }
        EnumMap<OrganisationAttribute, Long> values = new EnumMap<>(OrganisationAttribute.class);
        for (OrganisationAttribute attribute : OrganisationAttribute.values()) {
            values.put(attribute, attribute.defaultValue());
        }
        return new OrganisationPolicy(name, values);
    }

    /** Returns the same policy with another value, which must be in the attribute's range. */
    public OrganisationPolicy with(OrganisationAttribute attribute, long value) {
        EnumMap<OrganisationAttribute, Long> values = new EnumMap<>(mValues);
        values.put(attribute, attribute.checked(value));
        return new OrganisationPolicy(mName, values);
    }

    // Accessors

    public String name() {
        return mName;
    }

    /** Returns the value of a numeric attribute, in the attribute's unit. */
    public long value(OrganisationAttribute attribute) {
        return mValues.get(attribute);
    }

    /** Returns the share of capacity relative to other organisations. */
    public int weight() {
        return (int) value(OrganisationAttribute.WEIGHT);
    }

    /** Returns the programs that may be under way at once. */
    public int maxRunning() {
        return (int) value(OrganisationAttribute.MAX_RUNNING);
    }

    /** Returns the tokens that all programs may spend together. */
    public long budgetTokens() {
        return value(OrganisationAttribute.BUDGET_TOKENS);
    }

    // Helpers

    @Override
    public boolean equals(Object other) {
        return other instanceof OrganisationPolicy that
                && mName.equals(that.mName)
                && mValues.equals(that.mValues);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mName, mValues);
    }

    @Override
    public String toString() {
        return mName + mValues;
    }
}
