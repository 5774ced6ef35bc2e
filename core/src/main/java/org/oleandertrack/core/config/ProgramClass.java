package org.oleandertrack.core.config;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Objects;
import java.util.SortedSet;

/**
 * A class of programs with its priority and limits, and the models and targets that its programs
 * may use. Immutable.
 */
public final class ProgramClass {

    /** Name of the class that always exists and applies to programs that do not name a class. */
    public static final String DEFAULT_NAME = "default";

    private final String mName;
    private final EnumMap<ClassAttribute, Long> mValues;
    private final SortedSet<String> mModels;
    private final SortedSet<String> mTargets;

    private ProgramClass(
            String name,
            EnumMap<ClassAttribute, Long> values,
            SortedSet<String> models,
            SortedSet<String> targets) {
        mName = name;
        mValues = values;
        mModels = models;
        mTargets = targets;
    }

    // Life-cycle

    /**
     * Returns a class with default values that may use every model and target.
     *
     * @throws IllegalArgumentException if the name is not valid
     */
    public static ProgramClass defaults(String name) {
        if (!Names.isClassOrTarget(name)) {
            throw new IllegalArgumentException("invalid class name: " + name);
        }
        EnumMap<ClassAttribute, Long> values = new EnumMap<>(ClassAttribute.class);
        for (ClassAttribute attribute : ClassAttribute.values()) {
            values.put(attribute, attribute.defaultValue());
        }
        SortedSet<String> all = Names.sorted(List.of());
        return new ProgramClass(name, values, all, all);
    }

    /**
     * Returns the class with another value of an attribute.
     *
     * @throws IllegalArgumentException if the value is out of range
     */
    public ProgramClass with(ClassAttribute attribute, long value) {
        EnumMap<ClassAttribute, Long> values = new EnumMap<>(mValues);
        values.put(attribute, attribute.requireInRange(value));
        return new ProgramClass(mName, values, mModels, mTargets);
    }

    /** Returns the class with other models; empty for every model. */
    public ProgramClass withModels(Collection<String> models) {
        return new ProgramClass(mName, mValues, Names.sorted(models), mTargets);
    }

    /** Returns the class with other targets; empty for every target. */
    public ProgramClass withTargets(Collection<String> targets) {
        return new ProgramClass(mName, mValues, mModels, Names.sorted(targets));
    }

    // Accessors

    public String name() {
        return mName;
    }

    /** Returns the value of a numeric attribute, in the attribute's unit. */
    public long value(ClassAttribute attribute) {
        return mValues.get(attribute);
    }

    /** Returns the priority; classes with lower values run first. */
    public int priority() {
        return (int) value(ClassAttribute.PRIORITY);
    }

    /** Returns the weight when capacity is shared between classes of the same priority. */
    public int weight() {
        return (int) value(ClassAttribute.WEIGHT);
    }

    /** Returns the budget of a new program in tokens. */
    public long budgetTokens() {
        return value(ClassAttribute.BUDGET_TOKENS);
    }

    /** Returns the number of turns after which a program is ended. */
    public int turnLimit() {
        return (int) value(ClassAttribute.TURN_LIMIT);
    }

    /** Returns the age in seconds at which a program is ended. */
    public long timeLimitSeconds() {
        return value(ClassAttribute.TIME_LIMIT_SECONDS);
    }

    /**
     * Returns the number of repetitions of the same request body after which a program is ended.
     */
    public int repetitionLimit() {
        return (int) value(ClassAttribute.REPETITION_LIMIT);
    }

    /** Returns the predicted wait in milliseconds above which a new program is refused. */
    public long maxWaitMillis() {
        return value(ClassAttribute.MAX_WAIT_MILLIS);
    }

    /** Returns the idle time in seconds after which a program's engine memory is freed. */
    public long idleSeconds() {
        return value(ClassAttribute.IDLE_SECONDS);
    }

    /** Returns the number of long calls of the class that may run at one target at once. */
    public int longCalls() {
        return (int) value(ClassAttribute.LONG_CALLS);
    }

    /** Returns the models that programs may use; empty for every model. */
    public SortedSet<String> models() {
        return mModels;
    }

    /** Returns the targets that programs may use; empty for every target. */
    public SortedSet<String> targets() {
        return mTargets;
    }

    /** Returns whether programs of the class may use the model. */
    public boolean allowsModel(String model) {
        return mModels.isEmpty() || mModels.contains(model);
    }

    /** Returns whether programs of the class may use the target. */
    public boolean allowsTarget(String target) {
        return mTargets.isEmpty() || mTargets.contains(target);
    }

    // Helpers

    @Override
    public boolean equals(Object other) {
        return other instanceof ProgramClass that
                && mName.equals(that.mName)
                && mValues.equals(that.mValues)
                && mModels.equals(that.mModels)
                && mTargets.equals(that.mTargets);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mName, mValues, mModels, mTargets);
    }

    @Override
    public String toString() {
        return mName + mValues + " models=" + mModels + " targets=" + mTargets;
    }
}
