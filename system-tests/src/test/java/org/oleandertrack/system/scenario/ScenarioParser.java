package org.oleandertrack.system.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Parses scenario files. */
final class ScenarioParser {

    private static final Set<String> INVARIANTS =
            Set.of("I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8", "I9", "I10");

    private final String mFile;

    ScenarioParser(String file) {
        mFile = file;
    }

    // Operations

    Scenario parse(String text) {
        List<Scenario.Line> lines = new ArrayList<>();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            List<Token> tokens = new ScenarioLexer(mFile, number, line).tokens();
            if (!tokens.isEmpty()) {
                TokenReader reader = new TokenReader(mFile, number, tokens);
                Statement statement = statement(reader, line.strip());
                reader.end();
                lines.add(new Scenario.Line(number, statement));
            }
        }
        return new Scenario(mFile, List.copyOf(lines));
    }

    // Helpers

    private static Statement statement(TokenReader reader, String source) {
        String first = reader.word("a statement");
        return switch (first) {
            case "guards" -> guards(reader);
            case "uses" -> new Statement.Uses(reader.word("the name of a deployment"));
            case "golden" -> new Statement.Golden();
            case "settings" ->
                    new Statement.Settings(
                            reader.oneOf(Set.of("entry", "sidecar")), reader.text("TOML text"));
            case "start" -> start(reader);
            case "kill", "freeze", "resume", "terminate", "stop", "restart", "leaving" ->
                    new Statement.Signal(signal(first), reader.word("the name of a process"));
            case "fault" ->
                    new Statement.Fault(reader.word("the name of a stand-in"), reader.json());
            case "begin" ->
                    send(
                            reader,
                            reader.oneOf(RequestParser.KINDS),
                            Statement.Send.Mode.BACKGROUND,
                            source);
            case "retrying" ->
                    send(
                            reader,
                            reader.oneOf(RequestParser.KINDS),
                            Statement.Send.Mode.RETRYING,
                            source);
            case "turn", "call", "ctl", "repeat" ->
                    send(reader, first, Statement.Send.Mode.ONCE, source);
            case "leave" -> new Statement.Leave(reader.word("the name of a request"));
            case "load" -> new Statement.StartLoad(load(reader));
            case "finish" -> new Statement.FinishLoad(reader.word("the name of a load"));
            case "await" -> await(reader);
            case "expect" -> new Statement.Expect(new CheckParser(reader).check());
            default -> throw reader.error("unknown statement '" + first + "'");
        };
    }

    private static Statement guards(TokenReader reader) {
        List<String> invariants = new ArrayList<>();
        do {
            invariants.add(reader.oneOf(INVARIANTS));
        } while (reader.hasNext());
        return new Statement.Guards(List.copyOf(invariants));
    }

    private static Statement.Signal.Kind signal(String word) {
        return switch (word) {
            case "kill" -> Statement.Signal.Kind.KILL;
            case "freeze" -> Statement.Signal.Kind.FREEZE;
            case "resume" -> Statement.Signal.Kind.RESUME;
            case "terminate" -> Statement.Signal.Kind.TERMINATE;
            case "stop" -> Statement.Signal.Kind.STOP;
            case "restart" -> Statement.Signal.Kind.RESTART;
            default -> Statement.Signal.Kind.LEAVING;
        };
    }

    private static Statement start(TokenReader reader) {
        String kind = reader.oneOf(Set.of("platform", "engine", "service", "entry"));
        if (kind.equals("platform")) {
            return new Statement.StartPlatform();
        }
        String name = reader.word("a name");
        if (kind.equals("entry")) {
            reader.keyword("zone");
            return new Statement.StartEntry(name, reader.word("a zone"));
        }
        boolean engine = kind.equals("engine");
        reader.keyword(engine ? "model" : "service");
        String offer = reader.word(engine ? "a model" : "a service");
        reader.keyword("zone");
        String zone = reader.word("a zone");
        List<String> arguments = new ArrayList<>();
        if (reader.accept("with")) {
            while (reader.hasNext()) {
                arguments.add(reader.text("an argument"));
            }
        }
        return new Statement.StartTarget(engine, name, offer, zone, List.copyOf(arguments));
    }

    private static Statement send(
            TokenReader reader, String kind, Statement.Send.Mode mode, String source) {
        RequestParser parser = new RequestParser(reader);
        Request request = parser.request(kind);
        Optional<String> as = parser.name();
        if (mode == Statement.Send.Mode.BACKGROUND && as.isEmpty()) {
            throw reader.error("a request in the background needs a name: as NAME");
        }
        return new Statement.Send(request, as, mode, source);
    }

    private static BackgroundLoad.Plan load(TokenReader reader) {
        String name = reader.word("a name");
        reader.keyword("org");
        String organisation = reader.word("an organisation");
        reader.keyword("clients");
        int clients = (int) reader.number("a number of clients");
        reader.keyword("programs");
        int programs = (int) reader.number("a number of programs per client");
        reader.keyword("turns");
        int turns = (int) reader.number("a number of turns");
        Optional<String> service =
                reader.accept("service") ? Optional.of(reader.word("a service")) : Optional.empty();
        reader.keyword("at");
        List<String> nodes = new ArrayList<>();
        do {
            nodes.add(reader.word("the name of an entry host"));
        } while (reader.hasNext());
        return new BackgroundLoad.Plan(
                name, organisation, clients, programs, turns, service, List.copyOf(nodes));
    }

    private static Statement await(TokenReader reader) {
        if (reader.accept("ready")) {
            return new Statement.AwaitReady(reader.word("the name of an entry host"));
        }
        if (reader.accept("connected")) {
            return new Statement.AwaitConnected();
        }
        if (reader.accept("exit")) {
            return new Statement.AwaitExit(reader.word("the name of a process"));
        }
        if (reader.accept("body")) {
            return new Statement.AwaitBody(reader.word("the name of a request"));
        }
        CheckParser checks = new CheckParser(reader);
        String word = reader.word("what to wait for");
        return checks.count(word)
                .<Statement>map(count -> new Statement.AwaitCount(count, checks.bound()))
                .orElseGet(() -> new Statement.AwaitCall(word));
    }
}
