package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against second responses of a target that count for the next request. */
final class SecondResponseTest {

    private static String post(TestClient client, String id) throws IOException {
        client.send("POST", "/unsafe/x", id, "", "body");
        return client.readAnswer();
    }

    /** Answers each request; before the second answer on a connection it sends the given bytes. */
    private static ScriptedTarget.Script sendingBeforeSecondAnswer(String bytes) {
        return (exchange, number) -> {
            if (exchange.isLaterOnConnection()) {
                exchange.write(bytes);
            }
            exchange.answer(200, "", "ran " + exchange.id());
        };
    }

    /** Guards against a request that runs at a second target while it runs at the first one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
                "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            })
    void aRefusalWithoutIdBehindAResponseDoesNotRefuseTheNextRequest(String refusal)
            throws IOException {
        ScriptedTarget.Script script = sendingBeforeSecondAnswer(refusal);
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("tool", first, second);
                TestClient client = gateway.client()) {
            int requestCount = 8;
            for (int i = 0; i < requestCount; i++) {
                String answer = post(client, "r" + i);
                assertTrue(answer.endsWith("ran r" + i), answer);
            }
            assertEquals(requestCount, first.requests().size() + second.requests().size());
        }
    }
}
