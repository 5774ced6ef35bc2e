package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request and its part in the conversation of a program. Immutable.
 *
 * @param conversation key of the conversation to which the answer is added, for a turn
 * @param texts texts and answers of the conversation that the request contains
 */
record SentRequest(
        String method,
        String path,
        Map<String, String> headers,
        String body,
        Optional<String> conversation,
        List<String> texts) {

    @Override
    public String toString() {
        return method + " " + path + " " + headers;
    }
}
