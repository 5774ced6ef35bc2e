package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request with what it means for a conversation. Immutable.
 *
 * @param conversation the program whose conversation the answer continues
 * @param texts all texts of the conversation that the request carries
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
