package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.server.http.HttpService;
import org.oleandertrack.server.http.HttpServiceConfig;

/** An HTTP server that passes each request on {@code /stream} to a call service. */
final class StreamServer {

    static final String REQUEST = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";

    /** A request after whose response the server closes the connection. */
    static final String LAST_REQUEST =
            "GET /stream HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    static final int TIMEOUT_MILLIS = 10_000;

    private static final int MAX_CALLS = 10;
    private static final int MAX_BYTES = 8 << 10;

    private final HttpService mHttp;
    private final CallLimiter mLimiter = new CallLimiter(MAX_CALLS, MAX_BYTES);

    StreamServer(CallService calls) throws Exception {
        CallResponder responder =
                new CallResponder(calls, mLimiter, task -> Thread.ofVirtual().start(task));
        mHttp =
                new HttpService(
                        new HttpServiceConfig(
                                "test",
                                InetAddress.getLoopbackAddress().getHostAddress(),
                                Optional.of(0),
                                0,
                                MAX_BYTES,
                                TIMEOUT_MILLIS,
                                TIMEOUT_MILLIS),
                        environment -> {
                            environment.jersey().register(new StreamResource(responder));
                            environment.jersey().register(new ResultExceptionMapper());
                            environment.jersey().register(new UnexpectedExceptionMapper());
                        });
        mHttp.start();
    }

    void stop() throws Exception {
        mHttp.stop();
    }

    static ResponseHead head(String contentType) {
        return ResponseHead.newBuilder()
                .setStatus(200)
                .addHeaders(Header.newBuilder().setName("content-type").setValue(contentType))
                .build();
    }

    CallLimiter limiter() {
        return mLimiter;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mHttp.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    Socket send(String request) throws IOException {
        Socket socket = connect();
        write(socket, request);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until the connection ends or the text has arrived. */
    static String readUntil(Socket socket, String text) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            while (!received.toString().endsWith(text)) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    break;
                }
                received.append((char) next);
            }
        } catch (SocketException e) {
            // A reset ends the response as well.
            assertTrue(e.getMessage().contains("reset"), e.toString());
        }
        return received.toString();
    }

    /** Passes a request on. */
    @Path("/stream")
    public static final class StreamResource {

        private final CallResponder mResponder;

        StreamResource(CallResponder responder) {
            mResponder = responder;
        }

        /** Runs a call. */
        @GET
        public Response get() {
            return mResponder.respond(TestRequests.serviceCall(true, 1_000));
        }
    }
}
