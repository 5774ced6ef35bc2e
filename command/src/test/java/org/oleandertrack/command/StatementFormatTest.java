package org.oleandertrack.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.oleandertrack.core.result.ResultException;

/** Guards against statements that change their meaning when they are formatted and parsed again. */
final class StatementFormatTest {

    private final CommandParser mParser = new CommandParser();
    private final StatementFormat mFormat = new StatementFormat();

    @Provide
    Arbitrary<Statement> statements() {
        return StatementArbitraries.statements();
    }

    @Property(seed = "20261204")
    void parsingTheCanonicalFormGivesTheSameStatement(@ForAll("statements") Statement statement) {
        String text = mFormat.format(statement);
        Statement parsed = mParser.parse(text);
        assertEquals(statement, parsed, text);
        assertEquals(text, mFormat.format(parsed));
    }

    @Property(seed = "20261204")
    void whitespaceDoesNotChangeTheMeaning(@ForAll("statements") Statement statement) {
        String text = mFormat.format(statement);
        // Spaces inside quotes are part of the value and must stay as they are.
        String wide = text.contains("\"") ? "  " + text + "\t" : text.replace(" ", " \t\n ");
        assertEquals(statement, mParser.parse(wide), wide);
    }

    @Property(seed = "20261204")
    void anyTextIsParsedOrRefusedWithAPosition(@ForAll String text) {
        try {
            mParser.parse(text);
        } catch (ResultException e) {
            assertEquals(true, e.getMessage().startsWith("position "), e.getMessage());
        }
    }

    @Property(seed = "20261204")
    void truncatedStatementIsParsedOrRefusedWithAPosition(
            @ForAll("statements") Statement statement, @ForAll byte cut) {
        String text = mFormat.format(statement);
        String truncated = text.substring(0, Math.floorMod(cut, text.length()));
        try {
            mParser.parse(truncated);
        } catch (ResultException e) {
            assertEquals(true, e.getMessage().startsWith("position "), e.getMessage());
        }
    }
}
