package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of no known status or protocol that callers get as answers. */
final class MalformedHeadTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 0 X",
                "HTTP/1.1 000 X",
                "HTTP/1.1 000",
                "HTTP/1.1 +200 X",
                "HTTP/1.1 0200 X",
                "HTTP/1.1 -200 X",
                "HTTP/1.1 2O0 X",
                "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 X",
                "HTTP/1.1 20 X",
                "HTTP/1.1 099 X",
                "HTTP/1.1 600 X",
                "HTTP/1.1 999 X",
                "HTTP/1.1 2000 X",
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "HTTP/1.2 200 OK",
                "TP/1.1 200 OK",
                "HHTTP/1.1 200 OK",
                "ICY/1.1 200 OK",
                "HTTP/1.1 200 OK\r\nContent-Length: 3",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
            })
    void aMalformedHeadIsNoAnswer(String start) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.write(
                                                start
                                                        + "\r\nId: r1\r\nContent-Length: 6"
                                                        + "\r\n\r\nanswer"));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/unsafe/x", "r1", "", "body");
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aStatusWithoutReasonPhraseIsAnAnswer() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.write(
                                                "HTTP/1.1 200\r\nId: r1\r\nContent-Length: 6"
                                                        + "\r\n\r\nanswer"));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/unsafe/x", "r1", "", "body");
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("answer"), answer);
        }
    }

    /** Guards against a status that is none, where a response has no body or goes on elsewhere. */
    @Test
    void aStatusThatIsNoneEndsAHeadRequestAndAStreamThatIsContinued() throws IOException {
        String head = "HTTP/1.1 000 X\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0 && exchange.head().startsWith("POST")) {
                                        exchange.startStream("id: 1\ndata: a\n\n");
                                        exchange.reset();
                                    }
                                    exchange.write(head);
                                });
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/relay/x", "r1", "", "body");
            String answer = client.readUntil("000");
            assertTrue(answer.endsWith("<closed>"), answer);
            try (TestClient other = gateway.client()) {
                other.send("HEAD", "/relay/x", "r1", "", "");
                String reply = other.readUntil("\r\n\r\n");
                assertTrue(reply.startsWith("HTTP/1.1 502"), reply);
            }
        }
    }

    /** Guards against a caller that waits until its deadline for a target that left HTTP. */
    @Test
    void aSwitchOfProtocolsEndsTheAttempt() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write("HTTP/1.1 101 X\r\nId: r1\r\n\r\n");
                                    exchange.answer(200, "", "answer");
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/unsafe/x", "r1", "", "body");
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }
    }
}
