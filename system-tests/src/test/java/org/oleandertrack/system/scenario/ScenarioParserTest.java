package org.oleandertrack.system.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that are parsed incorrectly, and against syntax errors that are
 * reported at the wrong line or column.
 */
final class ScenarioParserTest {

    @Test
    void turnKeepsItsOptions() {
        String source =
                "begin turn n1 org prog 2 \"say \\\"hi\\\"\" streamed tokens 9 parent p end as a";
        Request.Turn turn =
                new Request.Turn(
                        "n1",
                        "org",
                        "prog",
                        2,
                        "say \"hi\"",
                        true,
                        9,
                        "",
                        Map.of("Oleandertrack-Parent", "p", "Oleandertrack-End", "true"));
        assertEquals(
                new Statement.Send(turn, Optional.of("a"), Statement.Send.Mode.BACKGROUND, source),
                parseOne(source));
    }

    @Test
    void jsonTakesTheRestOfTheLine() {
        assertEquals(
                new Statement.Fault("e1", "{\"hang\":true} # kept"),
                parseOne("fault e1 {\"hang\":true} # kept"));
    }

    @Test
    void countsTakeBounds() {
        assertEquals(
                new Statement.Expect(
                        new Check.Counted(
                                new Count.Executions("s1", "k1"),
                                new Bound(Bound.Kind.AT_MOST, 1))),
                parseOne("expect executions s1 key k1 at most 1"));
        assertTrue(new Bound(Bound.Kind.AT_MOST, 1).isMetBy(0));
    }

    @Test
    void faultsAreReportedAsApproved() {
        List<String> invalidLines =
                List.of(
                        "launch n1",
                        "start engine e1 zone z1",
                        "start entry n1 zone z1 z2",
                        "turn n1 org prog one \"text\"",
                        "turn n1 org prog 1 \"text",
                        "turn n1 org prog 1 \"a \\x\"",
                        "turn n1 org prog 1 text loudly",
                        "begin ctl n1 \"show programs\"",
                        "begin start platform",
                        "call n1 GET /x json",
                        "expect a code 2002 execution maybe",
                        "expect a colour red",
                        "expect executions s1 key k1 below 2",
                        "guards I11",
                        "fault e1 hang",
                        "call n1 POST /x body bytes 999999999999",
                        "await");
        StringBuilder text = new StringBuilder();
        for (String invalidLine : invalidLines) {
            String file = "# comment\n\n" + invalidLine;
            text.append(invalidLine)
                    .append("\n    ")
                    .append(
                            assertThrows(
                                            ScenarioSyntaxException.class,
                                            () -> new ScenarioParser("x.scenario").parse(file))
                                    .getMessage())
                    .append('\n');
        }
        Approvals.verify(text.toString());
    }

    private static Statement parseOne(String line) {
        return new ScenarioParser("x.scenario").parse(line).lines().getFirst().statement();
    }
}
