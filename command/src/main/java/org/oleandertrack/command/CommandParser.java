package org.oleandertrack.command;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Token;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Parser of the operators' command language; {@code docs/command-language.md} has the grammar. Each
 * error is a {@link ResultException} whose message begins with the position of the first character
 * that is not valid, counted from 1. Thread-safe.
 */
public final class CommandParser {

    /** Longest accepted statement in characters; leaves room for the names of 1,800 targets. */
    public static final int MAX_CHARACTERS = 131_072;

    // The name of jparsec for the end of the input.
    private static final String END_OF_INPUT = "EOF";

    private static final Parser<PositionedText> TEXT =
            Parsers.token(CommandParser::toPositionedText).label("name or value");

    private static final Parser<List<PositionedText>> VALUES =
            Parsers.or(
                    symbol(Lexer.WILDCARD).retn(List.<PositionedText>of()),
                    TEXT.sepBy1(symbol(Lexer.COMMA)));

    // Atomic, so that a word that is not followed by "=" ends the list of assignments.
    private static final Parser<PositionedText> ASSIGNED_NAME =
            TEXT.followedBy(symbol(Lexer.EQUALS)).atomic();

    private static final Parser<Assignment> ASSIGNMENT =
            Parsers.sequence(ASSIGNED_NAME, VALUES, Assignment::new);

    private static final Parser<Assignment> CONDITION =
            Parsers.sequence(
                    ASSIGNED_NAME, TEXT, (name, text) -> new Assignment(name, List.of(text)));

    private static final Parser<Optional<PositionedText>> REPLACING =
            keyword("replacing").next(keyword("version")).next(TEXT).asOptional();

    // The suppliers check names and values; they run after the whole statement has been parsed.
    private static final Parser<Supplier<Statement>> STATEMENT =
            Parsers.or(show(), set(), remove(), drain(), undrain(), end());

    // Operations

    /**
     * Parses a statement.
     *
     * @throws ResultException if the text does not follow the grammar or a name or value in it is
     *     not allowed
     */
    public Statement parse(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw PositionedText.failure(
                    ResultCode.COMMAND_SYNTAX,
                    MAX_CHARACTERS,
                    "the command is longer than " + MAX_CHARACTERS + " characters");
        }
        Supplier<Statement> checked;
        try {
            checked = STATEMENT.from(Lexer.LEXEMES).parse(text);
        } catch (ParserException e) {
            throw syntaxFailure(text, e.getErrorDetails());
        }
        return checked.get();
    }

    /**
     * Parses a statement that changes the configuration.
     *
     * @throws ResultException if the text is not valid or is another kind of statement
     */
    public ConfigCommand parseConfigCommand(String text) {
        if (parse(text) instanceof ConfigCommand command) {
            return command;
        }
        throw PositionedText.failure(
                ResultCode.COMMAND_SYNTAX, 0, "expected a command that changes the configuration");
    }

    // Helpers

    private static Parser<Supplier<Statement>> show() {
        Parser<List<Assignment>> conditions =
                keyword("where").next(CONDITION.many1()).optional(List.of());
        return keyword("show")
                .next(
                        Parsers.sequence(
                                TEXT,
                                conditions,
                                (object, where) ->
                                        () -> StatementFactory.createQuery(object, where)));
    }

    private static Parser<Supplier<Statement>> set() {
        Parser<Supplier<Statement>> setClass =
                keyword("class")
                        .next(
                                Parsers.sequence(
                                        TEXT,
                                        ASSIGNMENT.many1(),
                                        REPLACING,
                                        (name, values, version) ->
                                                () ->
                                                        StatementFactory.createSetClass(
                                                                name, values, version)));
        Parser<Supplier<Statement>> setOrganisation =
                keyword("organisation")
                        .next(
                                Parsers.sequence(
                                        TEXT,
                                        ASSIGNMENT.many1(),
                                        REPLACING,
                                        (name, values, version) ->
                                                () ->
                                                        StatementFactory.createSetOrganisation(
                                                                name, values, version)));
        Parser<Supplier<Statement>> setTargets =
                keyword("targets")
                        .next(
                                Parsers.sequence(
                                        TEXT.followedBy(symbol(Lexer.EQUALS)),
                                        VALUES,
                                        REPLACING,
                                        (name, targets, version) ->
                                                () ->
                                                        StatementFactory.createSetTargets(
                                                                name, targets, version)));
        return keyword("set").next(Parsers.or(setClass, setOrganisation, setTargets));
    }

    private static Parser<Supplier<Statement>> remove() {
        return keyword("remove")
                .next(keyword("class"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                REPLACING,
                                (name, version) ->
                                        () -> StatementFactory.createRemoveClass(name, version)));
    }

    private static Parser<Supplier<Statement>> drain() {
        return keyword("drain")
                .next(keyword("target"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                REPLACING,
                                (name, version) ->
                                        () -> StatementFactory.createDrainTarget(name, version)));
    }

    private static Parser<Supplier<Statement>> undrain() {
        return keyword("undrain")
                .next(keyword("target"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                REPLACING,
                                (name, version) ->
                                        () -> StatementFactory.createUndrainTarget(name, version)));
    }

    private static Parser<Supplier<Statement>> end() {
        return keyword("end")
                .next(keyword("program"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                TEXT,
                                (organisation, program) ->
                                        () ->
                                                StatementFactory.createEndProgram(
                                                        organisation, program)));
    }

    private static Parser<String> keyword(String keyword) {
        return Parsers.token(
                        token ->
                                token.value() instanceof Lexeme.Text text
                                                && !text.quoted()
                                                && text.text().equals(keyword)
                                        ? keyword
                                        : null)
                .label(keyword);
    }

    private static Parser<String> symbol(String symbol) {
        return Parsers.token(
                        token ->
                                token.value() instanceof Lexeme.Symbol found
                                                && found.text().equals(symbol)
                                        ? symbol
                                        : null)
                .label(symbol);
    }

    private static PositionedText toPositionedText(Token token) {
        return token.value() instanceof Lexeme.Text text
                ? new PositionedText(text.text(), token.index())
                : null;
    }

    private static ResultException syntaxFailure(String text, ParseErrorDetails details) {
        String expected =
                details.getExpected().stream()
                        .map(CommandParser::describe)
                        .distinct()
                        .collect(Collectors.joining(" or "));
        return PositionedText.failure(
                ResultCode.COMMAND_SYNTAX,
                details.getIndex(),
                "expected " + expected + ", found " + describeFound(text, details));
    }

    // jparsec reports a quote that is not closed as the end of the input.
    private static String describeFound(String text, ParseErrorDetails details) {
        String encountered = details.getEncountered();
        return encountered.equals(END_OF_INPUT) && details.getIndex() < text.length()
                ? text.substring(details.getIndex()).strip()
                : describe(encountered);
    }

    private static String describe(String lexeme) {
        return lexeme.equals(END_OF_INPUT) ? "the end of the command" : lexeme;
    }
}
