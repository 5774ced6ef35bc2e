package org.oleandertrack.system.scenario;

import java.util.Map;

/** A request of a caller or an operator to a process. */
sealed interface Request {

    /** The name of the process that receives the request. */
    String node();

    /**
     * A turn of a program. The request that is sent contains the texts and answers of the program's
     * earlier turns, followed by the text of this turn.
     */
    record Turn(
            String node,
            String organisation,
            String program,
            int turn,
            String text,
            boolean streamed,
            long maxTokens,
            String model,
            Map<String, String> headers)
            implements Request {}

    /** Any other HTTP request. */
    record Call(String node, String method, String path, Map<String, String> headers, String body)
            implements Request {}

    /** A query or command of an operator. */
    record Ctl(String node, String command) implements Request {}

    /** Exactly the same request as an earlier one, sent to a process that may be another one. */
    record Repeat(String node, String repeatedCall) implements Request {}
}
