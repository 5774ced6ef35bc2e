package org.oleandertrack.system.scenario;

import java.util.Map;

/** A request of a caller or an operator, sent to a process by its name. */
sealed interface Request {

    /** The name of the process that receives the request. */
    String node();

    /**
     * A turn of a program. It carries the program's earlier texts and answers before its own text.
     */
    record Turn(
            String node,
            String organisation,
            String program,
            int turn,
            String text,
            boolean streamed,
            long tokens,
            String model,
            Map<String, String> headers)
            implements Request {}

    /** Any other HTTP request. */
    record Call(String node, String method, String path, Map<String, String> headers, String body)
            implements Request {}

    /** An operator's statement. */
    record Ctl(String node, String command) implements Request {}

    /** The same request as an earlier one, byte for byte. */
    record Repeat(String node, String of) implements Request {}
}
