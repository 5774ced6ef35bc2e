package org.oleandertrack.core.config;

import java.util.EnumMap;
import java.util.Objects;

/** Limits and weight of an organisation. Immutable. */
public final class OrganisationPolicy {

    private final String mName;
    private final EnumMap<OrganisationAttribute, Long> mValues;

    private OrganisationPolicy(String name, EnumMap<OrganisationAttribute, Long> values) {
        mName = name;
        mValues = values;
    }

    // Life-cycle

    /**
     * Returns the policy of an organisation without configured values.
     *
     * @throws IllegalArgumentException if the name is not valid
     */
    public static OrganisationPolicy defaults(String name) {
        if (!Names.isOrganisation(name)) {
            throw new IllegalArgumentException("invalid organisation name: " + name);
        }
        EnumMap<OrganisationAttribute, Long> values = new EnumMap<>(OrganisationAttribute.class);
        for (OrganisationAttribute attribute : OrganisationAttribute.values()) {
            values.put(attribute, attribute.defaultValue());
        }
        return new OrganisationPolicy(name, values);
    }

    /**
     * Returns the policy with another value of an attribute.
     *
     * @throws IllegalArgumentException if the value is out of range
     */
    public OrganisationPolicy with(OrganisationAttribute attribute, long value) {
        EnumMap<OrganisationAttribute, Long> values = new EnumMap<>(mValues);
        values.put(attribute, attribute.requireInRange(value));
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

    /** Returns the weight when capacity is shared between organisations. */
    public int weight() {
        return (int) value(OrganisationAttribute.WEIGHT);
    }

    /** Returns the number of programs that may run at once. */
    public int maxRunning() {
        return (int) value(OrganisationAttribute.MAX_RUNNING);
    }

    /** Returns the number of tokens that all programs together may spend. */
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
