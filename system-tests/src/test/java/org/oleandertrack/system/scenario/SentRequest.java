package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request and, if it is a turn, the conversation of the program up to it. Immutable.
 *
 * @param conversationKey key of the conversation to which the answer is added, for a turn
 * @param texts texts of the turns and the answers to them, alternating, up to the text of this
 *     turn; empty if the request is not a turn
 */
record SentRequest(
        String method,
        String path,
        Map<String, String> headers,
        String body,
        Optional<String> conversationKey,
        List<String> texts) {

    @Override
    public String toString() {
        return method + " " + path + " " + headers;
    }
}
