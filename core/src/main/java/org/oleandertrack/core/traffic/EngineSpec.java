package org.oleandertrack.core.traffic;

/**
 * Properties of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens tokens that fit in an engine's memory
 * @param tokensPerEvent tokens that one event of a stream carries
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent) {}
