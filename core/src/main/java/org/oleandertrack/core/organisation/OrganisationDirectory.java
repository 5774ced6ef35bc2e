package org.oleandertrack.core.organisation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The organisations of one configuration, found by their access keys. Immutable. */
public final class OrganisationDirectory {

    /** Directory of a configuration without organisations. */
    public static final OrganisationDirectory EMPTY =
            new OrganisationDirectory(false, List.of(), List.of());

    private final boolean mKeysRequired;
    private final List<Organisation> mOrganisations;
    private final List<String> mRejectedEntries;
    private final Map<KeyDigest, Organisation> mByKey = new HashMap<>();

    /**
     * Creates a directory. If two organisations have the same key, it belongs to the first one.
     *
     * @param keysRequired whether requests need a key; also true if the configuration names
     *     organisations of which none is usable
     * @param rejectedEntries why entries of the configuration are not usable, for operators
     */
    public OrganisationDirectory(
            boolean keysRequired, List<Organisation> organisations, List<String> rejectedEntries) {
        mKeysRequired = keysRequired;
        mRejectedEntries = List.copyOf(rejectedEntries);
        mOrganisations = List.copyOf(organisations);
        for (Organisation organisation : mOrganisations) {
            organisation.keyDigests().forEach(key -> mByKey.putIfAbsent(key, organisation));
        }
    }

    /** Returns whether requests need a key, except on routes that are open to everybody. */
    public boolean isKeyRequired() {
        return mKeysRequired;
    }

    /** Returns all usable organisations. */
    public List<Organisation> organisations() {
        return mOrganisations;
    }

    /** Returns why entries of the configuration are not usable. */
    public List<String> rejectedEntries() {
        return mRejectedEntries;
    }

    /** Returns the organisation to which a key belongs. */
    public Optional<Organisation> authenticate(KeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }
}
