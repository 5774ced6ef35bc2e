package org.oleandertrack.core.turn;

/**
 * A part of a prompt. Equal parts of different prompts share engine memory if all parts before them
 * are equal too.
 *
 * @param id identifies the content
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
