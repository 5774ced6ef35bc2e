package org.oleandertrack.core.traffic;

/**
 * Properties of the model engines of a service.
 *
 * @param slots number of requests that an engine runs at once
 * @param memoryTokens capacity of an engine's prefix cache in tokens
 * @param tokensPerEvent number of tokens in one event of a stream
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent) {}
