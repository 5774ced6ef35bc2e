package org.oleandertrack.system.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Parses the text of a scenario file into its statements. */
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
            List<Token> tokens = new ScenarioLexer(mFile, number, line).tokenize();
            if (!tokens.isEmpty()) {
                TokenReader reader = new TokenReader(mFile, number, tokens);
                Statement statement = parseStatement(reader, line.strip());
                reader.requireEnd();
                lines.add(new Scenario.Line(number, statement));
            }
        }
        return new Scenario(mFile, List.copyOf(lines));
    }

    // Helpers

    private static Statement parseStatement(TokenReader reader, String source) {
        String first = reader.word("a statement");
        return switch (first) {
            case "guards" -> parseGuards(reader);
            case "uses" -> new Statement.Uses(reader.word("the name of a deployment"));
            case "golden" -> new Statement.Golden();
            case "settings" ->
                    new Statement.Settings(
                            reader.oneOf(Set.of("entry", "sidecar")), reader.text("TOML text"));
            case "start" -> parseStart(reader);
            case "kill", "freeze", "resume", "terminate", "stop", "restart", "leaving" ->
                    new Statement.Signal(signalKind(first), reader.word("the name of a process"));
            case "fault" ->
                    new Statement.Fault(reader.word("the name of a stand-in"), reader.json());
            case "begin" ->
                    parseSend(
                            reader,
                            reader.oneOf(RequestParser.KINDS),
                            Statement.Send.Mode.BACKGROUND,
                            source);
            case "retrying" ->
                    parseSend(
                            reader,
                            reader.oneOf(RequestParser.KINDS),
                            Statement.Send.Mode.RETRYING,
                            source);
            case "turn", "call", "ctl", "repeat" ->
                    parseSend(reader, first, Statement.Send.Mode.ONCE, source);
            case "leave" -> new Statement.Leave(reader.word("the name of a request"));
            case "load" -> new Statement.StartLoad(parseLoad(reader));
            case "finish" -> new Statement.FinishLoad(reader.word("the name of a load"));
            case "await" -> parseAwait(reader);
            case "expect" -> new Statement.Expect(new CheckParser(reader).parseCheck());
            default -> throw reader.error("unknown statement '" + first + "'");
        };
    }

    private static Statement parseGuards(TokenReader reader) {
        List<String> invariants = new ArrayList<>();
        do {
            invariants.add(reader.oneOf(INVARIANTS));
        } while (reader.hasNext());
        return new Statement.Guards(List.copyOf(invariants));
    }

    private static Statement.Signal.Kind signalKind(String word) {
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

    private static Statement parseStart(TokenReader reader) {
        String kind = reader.oneOf(Set.of("platform", "engine", "service", "entry"));
        if (kind.equals("platform")) {
            return new Statement.StartPlatform();
        }
        String name = reader.word("a name");
        if (kind.equals("entry")) {
            reader.requireKeyword("zone");
            return new Statement.StartEntry(name, reader.word("a zone"));
        }
        boolean isEngine = kind.equals("engine");
        reader.requireKeyword(isEngine ? "model" : "service");
        String modelsOrService = reader.word(isEngine ? "a model" : "a service");
        reader.requireKeyword("zone");
        String zone = reader.word("a zone");
        List<String> arguments = new ArrayList<>();
        if (reader.acceptKeyword("with")) {
            while (reader.hasNext()) {
                arguments.add(reader.text("an argument"));
            }
        }
        return new Statement.StartTarget(
                isEngine, name, modelsOrService, zone, List.copyOf(arguments));
    }

    private static Statement parseSend(
            TokenReader reader, String kind, Statement.Send.Mode mode, String source) {
        RequestParser parser = new RequestParser(reader);
        Request request = parser.parseRequest(kind);
        Optional<String> requestName = parser.name();
        if (mode == Statement.Send.Mode.BACKGROUND && requestName.isEmpty()) {
            throw reader.error("a request in the background needs a name: as NAME");
        }
        return new Statement.Send(request, requestName, mode, source);
    }

    private static BackgroundLoad.Plan parseLoad(TokenReader reader) {
        String name = reader.word("a name");
        reader.requireKeyword("org");
        String organisation = reader.word("an organisation");
        reader.requireKeyword("clients");
        int clients = (int) reader.number("a number of clients");
        reader.requireKeyword("programs");
        int programs = (int) reader.number("a number of programs per client");
        reader.requireKeyword("turns");
        int turns = (int) reader.number("a number of turns");
        Optional<String> service =
                reader.acceptKeyword("service")
                        ? Optional.of(reader.word("a service"))
                        : Optional.empty();
        reader.requireKeyword("at");
        List<String> nodes = new ArrayList<>();
        do {
            nodes.add(reader.word("the name of an entry host"));
        } while (reader.hasNext());
        return new BackgroundLoad.Plan(
                name, organisation, clients, programs, turns, service, List.copyOf(nodes));
    }

    private static Statement parseAwait(TokenReader reader) {
        if (reader.acceptKeyword("ready")) {
            return new Statement.AwaitReady(reader.word("the name of an entry host"));
        }
        if (reader.acceptKeyword("connected")) {
            return new Statement.AwaitConnected();
        }
        if (reader.acceptKeyword("exit")) {
            return new Statement.AwaitExit(reader.word("the name of a process"));
        }
        if (reader.acceptKeyword("body")) {
            return new Statement.AwaitBody(reader.word("the name of a request"));
        }
        CheckParser checks = new CheckParser(reader);
        String word = reader.word("what to wait for");
        return checks.parseCount(word)
                .<Statement>map(count -> new Statement.AwaitCount(count, checks.parseBound()))
                .orElseGet(() -> new Statement.AwaitCall(word));
    }
}
