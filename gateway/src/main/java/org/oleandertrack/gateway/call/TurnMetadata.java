package org.oleandertrack.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.organisation.IdScope;
import org.oleandertrack.core.turn.PromptPart;
import org.oleandertrack.core.turn.TurnRequest;

/**
 * The work that a turn, which is one model call of a program, requires of a model engine.
 *
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens largest number of tokens that may be generated
 * @param promptParts the parts of the prompt in order
 * @param expectedTokens the caller's estimate of the number of tokens that will be generated, if it
 *     gives one
 * @param budgetTokens largest number of tokens that all turns of the program together may generate;
 *     empty if the program has no budget
 */
public record TurnMetadata(
        int promptTokens,
        int maxTokens,
        List<PromptPart> promptParts,
        OptionalLong expectedTokens,
        OptionalLong budgetTokens) {

    private static final int DEFAULT_EXPECTED_OUTPUT_TOKENS = 35;

    /**
     * Returns the turn as placement needs it.
     *
     * @param scope scope of the program's id. The ids of prompt parts have none, because engines
     *     share cached parts among organisations.
     */
    TurnRequest toTurnRequest(Optional<ProgramMetadata> program, IdScope scope) {
        long expected = expectedTokens.orElse(DEFAULT_EXPECTED_OUTPUT_TOKENS);
        return new TurnRequest(
                promptTokens,
                promptParts,
                Math.clamp(expected, 1, Math.max(1, maxTokens)),
                program.map(ProgramMetadata::programId).map(scope::memoryId).orElse(""));
    }
}
