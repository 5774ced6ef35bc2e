package org.oleandertrack.core.turn;

import java.util.List;

/**
 * A turn to be placed.
 *
 * @param promptTokens length of the whole prompt in tokens
 * @param parts parts of the prompt in order; may be empty; the last one grows from turn to turn
 * @param expectedOutputTokens number of tokens that the turn is expected to generate
 * @param programId id of the turn's program; empty if there is none
 */
public record TurnRequest(
        int promptTokens, List<PromptPart> parts, int expectedOutputTokens, String programId) {}
