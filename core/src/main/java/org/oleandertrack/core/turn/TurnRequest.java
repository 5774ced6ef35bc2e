package org.oleandertrack.core.turn;

import java.util.List;

/**
 * What placement needs to know of a turn.
 *
 * @param promptTokens length of the whole prompt
 * @param parts parts of the prompt in order; may be empty; the last one grows from turn to turn
 * @param expectedTokens tokens that the turn is likely to generate
 * @param programId the program to which the turn belongs; empty if there is none
 */
public record TurnRequest(
        int promptTokens, List<PromptPart> parts, int expectedTokens, String programId) {}
