package org.oleandertrack.core.queue;

/** Configured weights of organisations. Implementations are thread-safe. */
@FunctionalInterface
public interface OrganisationWeights {

    /** The same weight for every organisation. */
    OrganisationWeights EQUAL = organisation -> 1;

    /** Returns the weight of an organisation; values below 1 count as 1. */
    int weightOf(String organisation);
}
