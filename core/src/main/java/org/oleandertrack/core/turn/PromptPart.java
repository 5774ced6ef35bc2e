package org.oleandertrack.core.turn;

/**
 * A part of a prompt. Two prompts share the cached tokens of a part in engine memory if the part
 * and all parts before it are equal.
 *
 * @param id identifies the content
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
