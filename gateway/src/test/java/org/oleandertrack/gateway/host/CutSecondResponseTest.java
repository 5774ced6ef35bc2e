package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the start of a late response that becomes a part of the next response's head. */
final class CutSecondResponseTest {

    private static final String ID_FIRST =
            "HTTP/1.1 200 OK\r\nId: r0\r\nSign: s0\r\nContent-Length: 4\r\n\r\nold0";
    private static final String ID_LAST =
            "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 4\r\nId: r0\r\n\r\nold0";
    private static final String NO_CONTENT = "HTTP/1.1 204 None\r\nId: r0\r\n\r\n";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    /**
     * Answers the first request on each connection. Sends the start of a late response before the
     * answer to the second one; the start is one byte longer on each connection.
     */
    private static ScriptedTarget.Script sendingStartsOf(String late) {
        return (exchange, number) -> {
            if (!exchange.isLaterOnConnection()) {
                exchange.answer(200, "", "new");
                return;
            }
            exchange.write(
                    late.substring(0, number / 2)
                            + "HTTP/1.1 500 X\r\nId: "
                            + exchange.id()
                            + "\r\nConnection: close\r\nContent-Length: 6\r\n\r\nfailed");
            exchange.socket().close();
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {ID_FIRST, ID_LAST, NO_CONTENT, INTERIM})
    void aFailureBehindTheStartOfALateResponseIsNoSuccess(String late) throws IOException {
        List<String> wrong = new ArrayList<>();
        try (ScriptedTarget target = new ScriptedTarget(sendingStartsOf(late));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int cut = 0; cut <= late.length(); cut++) {
                client.send("POST", "/unsafe/x", "r0", "", "body");
                String first = client.readAnswer();
                assertTrue(first.endsWith("new"), first);
                client.send("POST", "/unsafe/x", "r1", "", "body");
                String answer = client.readAnswer();
                boolean own = answer.startsWith("HTTP/1.1 500") && answer.endsWith("failed");
                if (!own && !answer.startsWith("HTTP/1.1 502")) {
                    wrong.add(late.substring(0, cut) + "| gives " + answer);
                }
            }
        }
        assertEquals(List.of(), wrong);
    }
}
