package org.oleandertrack.core.queue;

/** Weights of organisations, as the configuration gives them. Implementations are thread-safe. */
@FunctionalInterface
public interface OrganisationWeights {

    /** The same weight for every organisation. */
    OrganisationWeights EQUAL = organisation -> 1;

    /** Returns the weight of an organisation; values below 1 count as 1. */
    int weightOf(String organisation);
}
