package org.oleandertrack.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Guards against statements that are parsed wrongly, and against error messages that lack the
 * position or the accepted values.
 */
final class CommandParserTest {

    private static final List<String> VALID =
            List.of(
                    "show running",
                    "show programs where state=running organisation=kaasik",
                    "show targets where target=\"\" state = up",
                    "show waiting where program=\"a \\\"b\\\" \\\\ c\"",
                    "set class review weight=3 priority=0",
                    "set class review models=a/b:7,c targets=t2,t1,t2",
                    "set class review models=* replacing version 7",
                    "set class replacing weight=1 replacing version 0",
                    "set class default budget-tokens=1000000000000 turn-limit=1 time-limit-seconds=1"
                            + " repetition-limit=1 max-wait-millis=0 idle-seconds=1 long-calls=1",
                    "remove class review replacing version 12",
                    "set organisation kaasik weight=2 max-running=5 budget-tokens=9",
                    "set organisation \"Kaasik & Parn\" weight=2",
                    "set targets review=t1,t2",
                    "set targets review = *",
                    "drain target model-1",
                    "undrain target model-1 replacing version 3",
                    "end program kaasik review-7/conflicts",
                    "end program \"kaasik\" \"review 7\"");

    private static final List<String> INVALID =
            List.of(
                    "",
                    "   ",
                    "shw running",
                    "show",
                    "show everything",
                    "show running where",
                    "show running where state",
                    "show running where organisation=",
                    "show running where owner=kaasik",
                    "show running where turn=1 turn=2",
                    "show running organisation=kaasik",
                    "show running; drain target t1",
                    "\"show\" running",
                    "SHOW running",
                    "set",
                    "set clas review weight=1",
                    "set class",
                    "set class review",
                    "set class weight=1",
                    "set class re/view weight=1",
                    "set class review weight",
                    "set class review weight 1",
                    "set class review weight=",
                    "set class review weight=1,2",
                    "set class review weight=*",
                    "set class review weight=high",
                    "set class review weight=0",
                    "set class review weight=1001",
                    "set class review priority=-1",
                    "set class review weight=1.5",
                    "set class review weight=99999999999999999999",
                    "set class review weight=1 weight=2",
                    "set class review height=1",
                    "set class review budget=5",
                    "set class review budget-bytes=5",
                    "set class review time-limit-minutes=5",
                    "set class review max-wait-seconds=5",
                    "set class review max-wait-millis=5s",
                    "set class review time-limit-seconds=1.5h",
                    "set class review models=",
                    "set class review models=a,",
                    "set class review models=a,,b",
                    "set class review models=\"a b\"",
                    "set class review targets=a/b",
                    "set class review weight=1 replacing 4",
                    "set class review weight=1 replacing version",
                    "set class review weight=1 replacing version four",
                    "set class review weight=1 replacing version -1",
                    "set class review weight=1 replacing version 4 turn-limit=1",
                    "set organisation a/b weight=1",
                    "set organisation \"Kaasik & Pärn\" weight=2",
                    "set organisation kaasik priority=1",
                    "set organisation \" kaasik\" weight=1",
                    "set targets review",
                    "set targets review =",
                    "set targets review t1",
                    "remove review",
                    "remove class review weight=1",
                    "drain model-1",
                    "drain target model-1 model-2",
                    "drain target \"model 1\"",
                    "end program kaasik",
                    "end program kaasik \"\"",
                    "end program kaasik p1 replacing version 4",
                    "end program kaasik \"p1",
                    "drain target t1 # comment");

    private final CommandParser mParser = new CommandParser();
    private final StatementFormat mFormat = new StatementFormat();

    @Test
    void canonicalFormsAreAsApproved() {
        StringBuilder text = new StringBuilder();
        for (String line : VALID) {
            text.append(line).append("\n  ").append(outcome(line)).append('\n');
        }
        Approvals.verify(text.toString());
    }

    @Test
    void faultsAreReportedAsApproved() {
        StringBuilder text = new StringBuilder();
        for (String line : INVALID) {
            assertThrows(ResultException.class, () -> mParser.parse(line), line);
            text.append(line).append("\n  ").append(outcome(line)).append('\n');
        }
        Approvals.verify(text.toString());
    }

    @Test
    void attributesAreReadIntoTheirTypes() {
        TreeMap<ClassAttribute, Long> values = new TreeMap<>();
        values.put(ClassAttribute.BUDGET_TOKENS, 5000L);
        values.put(ClassAttribute.PRIORITY, 2L);
        SortedSet<String> models = new TreeSet<>(List.of("m1", "m2"));
        assertEquals(
                new ConfigCommand.SetClass(
                        "review", values, Optional.of(models), Optional.empty(), Optional.of(9L)),
                mParser.parse(
                        "set class review priority=2 models=m2,m1 budget-tokens=5000 replacing"
                                + " version 9"));
    }

    @Test
    void longestStatementIsParsed() {
        StringBuilder text = new StringBuilder("set targets review = target-0");
        for (int i = 1; i < 1_800; i++) {
            text.append(", ").append("t".repeat(50)).append(i);
        }
        ConfigCommand.SetTargets command =
                (ConfigCommand.SetTargets) mParser.parse(text.toString());
        assertEquals(1_800, command.targets().size());
    }

    @Test
    void messagesAreOneLineEvenIfTheTextHasLineBreaks() {
        for (String text : List.of("drain target \"a\nb\"", "show \"a\nb", "show \"a\r\nb\"")) {
            ResultException e = assertThrows(ResultException.class, () -> mParser.parse(text));
            assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        }
    }

    @Test
    void overlongStatementIsRefused() {
        String text = "show running" + " ".repeat(CommandParser.MAX_CHARACTERS);
        ResultException e = assertThrows(ResultException.class, () -> mParser.parse(text));
        assertEquals(ResultCode.COMMAND_SYNTAX, e.code());
    }

    @Test
    void queryIsRefusedAsConfigCommand() {
        ResultException e =
                assertThrows(
                        ResultException.class, () -> mParser.parseConfigCommand("show config"));
        assertEquals(ResultCode.COMMAND_SYNTAX, e.code());
    }

    private String outcome(String line) {
        try {
            return mFormat.format(mParser.parse(line));
        } catch (ResultException e) {
            return e.code().number() + " " + e.code() + ": " + e.getMessage();
        }
    }
}
