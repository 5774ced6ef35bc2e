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
 * Parses the operators' language; {@code docs/command-language.md} has the grammar. Every fault is
 * a {@link ResultException} whose message begins with the position, from 1, of the faulty word.
 * Thread-safe.
 */
public final class CommandParser {

    /** Longest accepted statement in characters; it holds the names of 1,800 targets. */
    public static final int MAX_CHARACTERS = 131_072;

    // What jparsec calls the end of the input.
    private static final String END = "EOF";

    private static final Parser<Word> TEXT =
            Parsers.token(CommandParser::textOf).label("name or value");

    private static final Parser<List<Word>> VALUES =
            Parsers.or(symbol(Lexer.ALL).retn(List.<Word>of()), TEXT.sepBy1(symbol(Lexer.COMMA)));

    // Atomic, so that a word without "=" ends the list of assignments.
    private static final Parser<Word> ASSIGNED = TEXT.followedBy(symbol(Lexer.EQUALS)).atomic();

    private static final Parser<Assignment> ASSIGNMENT =
            Parsers.sequence(ASSIGNED, VALUES, Assignment::new);

    private static final Parser<Assignment> CONDITION =
            Parsers.sequence(ASSIGNED, TEXT, (name, text) -> new Assignment(name, List.of(text)));

    private static final Parser<Optional<Word>> REPLACING =
            keyword("replacing").next(keyword("version")).next(TEXT).asOptional();

    // The suppliers check values; they run only after the whole statement has been parsed.
    private static final Parser<Supplier<Statement>> STATEMENT =
            Parsers.or(show(), set(), remove(), drain(), undrain(), end());

    // Operations

    /** Returns the statement that the text says. */
    public Statement parse(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw Word.failure(
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

    /** Returns the command that changes the configuration which the text says. */
    public ConfigCommand parseConfigCommand(String text) {
        if (parse(text) instanceof ConfigCommand command) {
            return command;
        }
        throw Word.failure(ResultCode.COMMAND_SYNTAX, 0, "expected a change of the configuration");
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
                                (object, where) -> () -> StatementChecks.query(object, where)));
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
                                                        StatementChecks.setClass(
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
                                                        StatementChecks.setOrganisation(
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
                                                        StatementChecks.setTargets(
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
                                        () -> StatementChecks.removeClass(name, version)));
    }

    private static Parser<Supplier<Statement>> drain() {
        return keyword("drain")
                .next(keyword("target"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                REPLACING,
                                (name, version) ->
                                        () -> StatementChecks.drainTarget(name, version)));
    }

    private static Parser<Supplier<Statement>> undrain() {
        return keyword("undrain")
                .next(keyword("target"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                REPLACING,
                                (name, version) ->
                                        () -> StatementChecks.undrainTarget(name, version)));
    }

    private static Parser<Supplier<Statement>> end() {
        return keyword("end")
                .next(keyword("program"))
                .next(
                        Parsers.sequence(
                                TEXT,
                                TEXT,
                                (organisation, program) ->
                                        () -> StatementChecks.endProgram(organisation, program)));
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

    private static Word textOf(Token token) {
        return token.value() instanceof Lexeme.Text text
                ? new Word(text.text(), token.index())
                : null;
    }

    private static ResultException syntaxFailure(String text, ParseErrorDetails details) {
        String expected =
                details.getExpected().stream()
                        .map(CommandParser::describe)
                        .distinct()
                        .collect(Collectors.joining(" or "));
        return Word.failure(
                ResultCode.COMMAND_SYNTAX,
                details.getIndex(),
                "expected " + expected + ", found " + found(text, details));
    }

    // A quote that is not closed is reported as an early end.
    private static String found(String text, ParseErrorDetails details) {
        String encountered = details.getEncountered();
        return encountered.equals(END) && details.getIndex() < text.length()
                ? text.substring(details.getIndex()).strip()
                : describe(encountered);
    }

    private static String describe(String lexeme) {
        return lexeme.equals(END) ? "the end of the command" : lexeme;
    }
}
