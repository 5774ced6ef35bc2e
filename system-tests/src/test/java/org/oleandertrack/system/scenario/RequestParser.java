package org.oleandertrack.system.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Parses a request with its options. */
final class RequestParser {

    static final Set<String> KINDS = Set.of("turn", "call", "ctl", "repeat");

    private static final long DEFAULT_MAX_TOKENS = 6;
    private static final Map<String, String> HEADERS_BY_OPTION =
            Map.of(
                    "org", "Oleandertrack-Organisation",
                    "class", "Oleandertrack-Class",
                    "program", "Oleandertrack-Program",
                    "turn", "Oleandertrack-Turn",
                    "parent", "Oleandertrack-Parent",
                    "budget", "Oleandertrack-Budget-Tokens",
                    "deadline", "Oleandertrack-Deadline-Ms",
                    "repeatable", "Oleandertrack-Repeatable",
                    "key", "Idempotency-Key");

    private final TokenReader mReader;
    private final Map<String, String> mHeaders = new LinkedHashMap<>();
    private Optional<String> mName = Optional.empty();
    private String mBody = "";
    private boolean mStreamed;
    private long mMaxTokens = DEFAULT_MAX_TOKENS;
    private String mModel = "";

    RequestParser(TokenReader reader) {
        mReader = reader;
    }

    // Operations

    Request parseRequest(String kind) {
        return switch (kind) {
            case "turn" -> parseTurn();
            case "call" -> parseCall();
            case "ctl" -> parseCtl();
            default -> parseRepeat();
        };
    }

    /** Returns the name that the option {@code as} gives to the request, if there is one. */
    Optional<String> name() {
        return mName;
    }

    // Helpers

    private Request parseTurn() {
        String node = mReader.word("the name of a process");
        String organisation = mReader.word("an organisation");
        String program = mReader.word("a program");
        int turn = (int) mReader.number("a turn");
        String text = mReader.text("the turn's text");
        parseOptions(true, false);
        return new Request.Turn(
                node,
                organisation,
                program,
                turn,
                text,
                mStreamed,
                mMaxTokens,
                mModel,
                Map.copyOf(mHeaders));
    }

    private Request parseCall() {
        String node = mReader.word("the name of a process");
        String method = mReader.word("a method");
        String path = mReader.word("a path");
        parseOptions(false, true);
        return new Request.Call(node, method, path, Map.copyOf(mHeaders), mBody);
    }

    private Request parseCtl() {
        String node = mReader.word("the name of an entry host");
        String command = mReader.text("an operator's statement");
        parseOptions(false, false);
        return new Request.Ctl(node, command);
    }

    private Request parseRepeat() {
        String repeatedCall = mReader.word("the name of a request");
        mReader.requireKeyword("at");
        String node = mReader.word("the name of a process");
        parseOptions(false, false);
        return new Request.Repeat(node, repeatedCall);
    }

    private void parseOptions(boolean isTurn, boolean isCall) {
        while (mReader.hasNext()) {
            String option = mReader.word("an option");
            if (option.equals("as")) {
                mName = Optional.of(mReader.word("a name for the request"));
            } else if (isTurn || isCall) {
                parseOption(option, isTurn);
            } else {
                throw mReader.error("unknown option '" + option + "'");
            }
        }
    }

    private void parseOption(String option, boolean isTurn) {
        if (HEADERS_BY_OPTION.containsKey(option)) {
            mHeaders.put(HEADERS_BY_OPTION.get(option), mReader.text("a value"));
        } else if (option.equals("header")) {
            mHeaders.put(mReader.text("a header's name"), mReader.text("a header's value"));
        } else if (isTurn) {
            parseTurnOption(option);
        } else if (option.equals("body")) {
            mBody = mReader.text("a body");
        } else if (option.equals("json")) {
            mBody = mReader.json();
            mHeaders.putIfAbsent("Content-Type", "application/json");
        } else {
            throw mReader.error("unknown option '" + option + "'");
        }
    }

    private void parseTurnOption(String option) {
        switch (option) {
            case "streamed" -> mStreamed = true;
            case "tokens" -> mMaxTokens = mReader.number("a number of tokens");
            case "model" -> mModel = mReader.word("a model");
            case "end" -> mHeaders.put("Oleandertrack-End", "true");
            default -> throw mReader.error("unknown option '" + option + "'");
        }
    }
}
