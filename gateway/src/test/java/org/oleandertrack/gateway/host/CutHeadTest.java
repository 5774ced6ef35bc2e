package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a success for the caller if the target closes within the head of its response. */
final class CutHeadTest {

    // All ids have the same length, so that all heads have.
    private static final int FIRST_ID = 100;
    private static final String LENGTH = "Content-Length: 6\r\n";
    private static final String NO_LENGTH = "";
    private static final String STREAM =
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

    private static String head(String id, String framing) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + framing + "Server: t\r\n\r\n";
    }

    private static String framing(String name) {
        return switch (name) {
            case "length" -> LENGTH;
            case "stream" -> STREAM;
            default -> NO_LENGTH;
        };
    }

    private static String id(int number) {
        return "r" + (FIRST_ID + number);
    }

    private static int numberOf(String id) {
        return Integer.parseInt(id.substring(1)) - FIRST_ID;
    }

    /** Lets a target cut off its responses after each possible number of bytes, one by one. */
    @ParameterizedTest
    @CsvSource({
        "POST, tool, /unsafe/x, length",
        "POST, tool, /unsafe/x, none",
        "GET, tool, /safe/x, length",
        "GET, tool, /safe/x, none",
        "HEAD, tool, /safe/x, length",
        "POST, engine, /turn/x, stream",
        "POST, engine, /turn/x, none"
    })
    void aCutHeadIsNoSuccess(String method, String service, String path, String framingName)
            throws IOException {
        String framing = framing(framingName);
        int headLength = head(id(0), framing).length();
        List<String> successes = new ArrayList<>();
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    String head = head(exchange.id(), framing);
                                    int cut = numberOf(exchange.id());
                                    exchange.write(head.substring(0, cut));
                                    exchange.socket().close();
                                });
                TestGateway gateway = TestGateway.with(service, target)) {
            for (int cut = 0; cut < headLength; cut++) {
                try (TestClient client = gateway.client()) {
                    client.send(method, path, id(cut), "", "");
                    if (client.readUntil("\r\n").startsWith("HTTP/1.1 2")) {
                        successes.add(head(id(cut), framing).substring(0, cut));
                    }
                }
            }
        }
        assertEquals(List.of(), successes);
    }
}
