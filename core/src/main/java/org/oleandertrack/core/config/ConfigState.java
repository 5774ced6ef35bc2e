package org.oleandertrack.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The configuration at one version. The class {@code default} always exists. States that result
 * from the same changes are equal and iterate in the same order in every process. Immutable.
 */
public final class ConfigState {

    private static final ConfigState INITIAL =
            new ConfigState(
                    0,
                    withEntry(
                            new TreeMap<>(),
                            ProgramClass.DEFAULT_NAME,
                            ProgramClass.defaults(ProgramClass.DEFAULT_NAME)),
                    Collections.unmodifiableSortedMap(new TreeMap<>()),
                    Collections.unmodifiableSortedSet(new TreeSet<>()));

    private final long mVersion;
    private final SortedMap<String, ProgramClass> mClasses;
    private final SortedMap<String, OrganisationPolicy> mOrganisations;
    private final SortedSet<String> mDrainedTargets;

    private ConfigState(
            long version,
            SortedMap<String, ProgramClass> classes,
            SortedMap<String, OrganisationPolicy> organisations,
            SortedSet<String> drainedTargets) {
        mVersion = version;
        mClasses = classes;
        mOrganisations = organisations;
        mDrainedTargets = drainedTargets;
    }

    // Life-cycle

    /** Returns version 0, which contains only the default class with default values. */
    public static ConfigState initial() {
        return INITIAL;
    }

    /** Returns this state with another version. */
    public ConfigState withVersion(long version) {
        return new ConfigState(version, mClasses, mOrganisations, mDrainedTargets);
    }

    /** Returns this state with the class added or replaced. */
    public ConfigState withClass(ProgramClass programClass) {
        return new ConfigState(
                mVersion,
                withEntry(mClasses, programClass.name(), programClass),
                mOrganisations,
                mDrainedTargets);
    }

    /**
     * Returns this state without the class.
     *
     * @throws IllegalArgumentException if it is the default class
     */
    public ConfigState withoutClass(String name) {
        if (name.equals(ProgramClass.DEFAULT_NAME)) {
            throw new IllegalArgumentException("the default class cannot be removed");
        }
        SortedMap<String, ProgramClass> classes = new TreeMap<>(mClasses);
        classes.remove(name);
        return new ConfigState(
                mVersion,
                Collections.unmodifiableSortedMap(classes),
                mOrganisations,
                mDrainedTargets);
    }

    /** Returns this state with the organisation's policy added or replaced. */
    public ConfigState withOrganisation(OrganisationPolicy policy) {
        return new ConfigState(
                mVersion,
                mClasses,
                withEntry(mOrganisations, policy.name(), policy),
                mDrainedTargets);
    }

    /** Returns this state with the given set of drained targets. */
    public ConfigState withDrainedTargets(Collection<String> targets) {
        return new ConfigState(mVersion, mClasses, mOrganisations, Names.sorted(targets));
    }

    // Accessors

    /** Returns the number of changes that led to this state. */
    public long version() {
        return mVersion;
    }

    /** Returns all classes by name. */
    public SortedMap<String, ProgramClass> classes() {
        return mClasses;
    }

    /** Returns the class of the given name, if there is one. */
    public Optional<ProgramClass> classNamed(String name) {
        return Optional.ofNullable(mClasses.get(name));
    }

    /** Returns the class of programs that do not name a class. */
    public ProgramClass defaultClass() {
        return mClasses.get(ProgramClass.DEFAULT_NAME);
    }

    /** Returns the explicitly configured policies by organisation. */
    public SortedMap<String, OrganisationPolicy> organisations() {
        return mOrganisations;
    }

    /** Returns the organisation's policy, or the default policy if none is configured. */
    public OrganisationPolicy organisation(String name) {
        OrganisationPolicy policy = mOrganisations.get(name);
        return policy == null ? OrganisationPolicy.defaults(name) : policy;
    }

    /** Returns the targets that an operator has drained; they take no new work. */
    public SortedSet<String> drainedTargets() {
        return mDrainedTargets;
    }

    // Helpers

    private static <V> SortedMap<String, V> withEntry(
            SortedMap<String, V> map, String key, V value) {
        SortedMap<String, V> copy = new TreeMap<>(map);
        copy.put(key, value);
        return Collections.unmodifiableSortedMap(copy);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigState that
                && mVersion == that.mVersion
                && mClasses.equals(that.mClasses)
                && mOrganisations.equals(that.mOrganisations)
                && mDrainedTargets.equals(that.mDrainedTargets);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mVersion, mClasses, mOrganisations, mDrainedTargets);
    }

    @Override
    public String toString() {
        return "version "
                + mVersion
                + " classes="
                + mClasses
                + " organisations="
                + mOrganisations
                + " drained="
                + mDrainedTargets;
    }
}
