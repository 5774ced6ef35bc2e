package org.oleandertrack.system.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Parses the checks, counts and bounds of {@code expect} and {@code await} statements. */
final class CheckParser {

    private static final Set<String> EXECUTIONS = Set.of("not run", "run", "unknown");

    private final TokenReader mReader;

    CheckParser(TokenReader reader) {
        mReader = reader;
    }

    // Operations

    Check parseCheck() {
        String first = mReader.word("the name of a request or a count");
        Optional<Count> count = parseCount(first);
        if (count.isPresent()) {
            return new Check.Counted(count.get(), parseBound());
        }
        String kind =
                mReader.oneOf(
                        Set.of(
                                "status",
                                "code",
                                "answer",
                                "same",
                                "cut",
                                "contains",
                                "header",
                                "matches"));
        return switch (kind) {
            case "status" -> new Check.Status(first, parseAlternatives("a status"));
            case "code" ->
                    new Check.Code(first, parseAlternatives("a result code"), parseExecution());
            case "answer" -> parseAnswer(first);
            case "same" -> {
                mReader.requireKeyword("as");
                yield new Check.Same(first, mReader.word("the name of a request"));
            }
            case "cut" -> {
                mReader.requireKeyword("off");
                yield new Check.CutOff(first);
            }
            case "matches" -> {
                mReader.requireKeyword("executions");
                yield new Check.MatchesExecutions(first, parseExecutions());
            }
            case "contains" -> new Check.Contains(first, mReader.text("a text"));
            default ->
                    new Check.HeaderValue(
                            first, mReader.text("a header's name"), mReader.text("a value"));
        };
    }

    /** Parses the rest of a count if the given word begins a count. */
    Optional<Count> parseCount(String word) {
        return Optional.ofNullable(
                switch (word) {
                    case "stats" ->
                            new Count.Stats(
                                    mReader.word("the name of a stand-in"),
                                    mReader.word("a field"));
                    case "executions" -> parseExecutions();
                    case "repeated" ->
                            new Count.RepeatedKeys(mReader.word("the name of a service"));
                    case "held" -> new Count.Held(mReader.word("the name of a service"));
                    case "metric" ->
                            new Count.Metric(
                                    mReader.word("the name of a daemon"), mReader.word("a metric"));
                    case "rows" ->
                            new Count.Rows(
                                    mReader.word("the name of an entry host"),
                                    mReader.text("a query"));
                    case "lost" -> new Count.Lost(mReader.word("the name of a load"));
                    case "completed" -> new Count.Completed(mReader.word("the name of a load"));
                    default -> null;
                });
    }

    Bound parseBound() {
        if (mReader.acceptKeyword("exactly")) {
            return new Bound(Bound.Kind.EXACTLY, mReader.number("a number"));
        }
        mReader.requireKeyword("at");
        Bound.Kind kind =
                mReader.oneOf(Set.of("least", "most")).equals("least")
                        ? Bound.Kind.AT_LEAST
                        : Bound.Kind.AT_MOST;
        return new Bound(kind, mReader.number("a number"));
    }

    // Helpers

    private Check parseAnswer(String call) {
        mReader.requireKeyword("right");
        if (mReader.acceptKeyword("or")) {
            mReader.requireKeyword("refused");
            return new Check.RightOrRefused(call);
        }
        return new Check.Right(call);
    }

    private Count.Executions parseExecutions() {
        String name = mReader.word("the name of a service");
        mReader.requireKeyword("key");
        return new Count.Executions(name, mReader.text("an idempotency key"));
    }

    private List<Long> parseAlternatives(String what) {
        List<Long> numbers = new ArrayList<>();
        do {
            numbers.add(mReader.number(what));
        } while (mReader.acceptKeyword("or"));
        return List.copyOf(numbers);
    }

    private Optional<String> parseExecution() {
        if (!mReader.acceptKeyword("execution")) {
            return Optional.empty();
        }
        String execution = mReader.text("an execution");
        if (!EXECUTIONS.contains(execution)) {
            throw mReader.error("expected one of " + new TreeSet<>(EXECUTIONS));
        }
        return Optional.of(execution);
    }
}
