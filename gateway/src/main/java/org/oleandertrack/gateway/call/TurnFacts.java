package org.oleandertrack.gateway.call;

import java.util.List;
import java.util.OptionalLong;
import org.oleandertrack.core.turn.PromptPart;

/**
 * The work that a turn asks of a model engine.
 *
 * @param promptTokens length of the prompt
 * @param maxTokens largest number of tokens that may be generated
 * @param parts parts of the prompt in order
 * @param expectedTokens the caller's estimate of the tokens that will be generated
 * @param budgetTokens tokens that all turns of the program may generate
 */
public record TurnFacts(
        int promptTokens,
        int maxTokens,
        List<PromptPart> parts,
        OptionalLong expectedTokens,
        OptionalLong budgetTokens) {}
