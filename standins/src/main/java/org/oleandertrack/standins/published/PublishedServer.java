package org.oleandertrack.standins.published;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Gate;
import org.oleandertrack.standins.http.Pause;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.StandinServer;

/**
 * A back-end server that follows the published protocol. It responds to requests for a stream with
 * numbered events and to other requests with one body. It can fail requests while its entry in the
 * store says that it is ready. Thread-safe.
 */
public final class PublishedServer implements AutoCloseable {

    /** How the server handles requests. */
    public enum Mode {
        /** Executes requests and responds to them. */
        SOUND,
        /** Accepts requests, but neither executes them nor responds. */
        HANGING,
        /** Executes requests and closes their connections early, for streams after one event. */
        BREAKING_OFF,
        /** Executes requests and responds with status 500. */
        FAILING
    }

    /** Number of events of a complete stream. */
    public static final int EVENTS_PER_STREAM = 5;

    /** Path prefix of the requests whose response is a stream. */
    public static final String STREAM_PATH = "/turn/";

    private static final long EVENT_INTERVAL_MILLIS = 15;
    private static final int SLOTS = 16;

    private final String mId;
    private final String mVersion;
    private final ExecutionLog mExecutionLog;
    private final StandinServer mServer;
    private final AtomicInteger mRunningRequests = new AtomicInteger();
    private final Gate mHangGate = new Gate();
    private volatile Mode mMode = Mode.SOUND;

    /**
     * Starts a server on a free port of the loopback address.
     *
     * @param version version of its software, on which the data of its events depends
     */
    public PublishedServer(String id, String version, ExecutionLog executionLog)
            throws IOException {
        mId = id;
        mVersion = version;
        mExecutionLog = executionLog;
        mServer = new StandinServer("127.0.0.1", 0, this::handle);
        mServer.start();
    }

    // Life-cycle

    @Override
    public void close() {
        mHangGate.setClosed(false);
        mServer.stop();
    }

    // Accessors

    public String id() {
        return mId;
    }

    public String version() {
        return mVersion;
    }

    public int port() {
        return mServer.port();
    }

    public int slots() {
        return SLOTS;
    }

    /** Returns the body of the complete response to a request that is not for a stream. */
    public static String expectedAnswer(String requestId) {
        return "answer to " + requestId;
    }

    /**
     * Returns all events of a stream.
     *
     * @param streamId id of the request that began the stream
     */
    public static String expectedStream(String streamId, String version) {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS_PER_STREAM; i++) {
            events.append(formatEvent(streamId, i, version));
        }
        return events.toString();
    }

    // Operations

    /**
     * Changes the mode; leaving {@link Mode#HANGING} closes the connections of hanging requests.
     */
    public void setMode(Mode mode) {
        mMode = mode;
        mHangGate.setClosed(mode == Mode.HANGING);
    }

    // Helpers

    private void handle(Request request) throws IOException {
        String requestId = request.header("X-Request-Id").orElse("");
        var headers = request.exchange().getResponseHeaders();
        headers.set("X-Request-Id", requestId);
        headers.set("X-Server-Load", mRunningRequests.get() + ",0," + SLOTS + ",100");
        String expectedInstance = request.header("X-Expected-Instance").orElse(mId);
        if (!expectedInstance.equals(mId)) {
            headers.set("X-Not-Executed", "1");
            request.sendError(421, "this is " + mId);
            return;
        }
        if (mHangGate.awaitOpen()) {
            throw new ConnectionAbortException("hung");
        }
        mRunningRequests.incrementAndGet();
        try {
            executeRequest(request, requestId);
        } finally {
            mRunningRequests.decrementAndGet();
        }
    }

    private void executeRequest(Request request, String requestId) throws IOException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        mExecutionLog.add(new ExecutionLog.Execution(requestId, mId, body, System.nanoTime()));
        request.exchange().getResponseHeaders().set("X-Response-Signature", signatureOf(requestId));
        if (mMode == Mode.FAILING) {
            request.sendError(500, "a simulated fault fails the request");
        } else if (request.path().startsWith(STREAM_PATH)) {
            sendStream(request, requestId);
        } else if (mMode == Mode.BREAKING_OFF) {
            throw new ConnectionAbortException("a simulated fault closes the connection");
        } else {
            Pause.sleepMillis(EVENT_INTERVAL_MILLIS);
            request.send(
                    200, "text/plain", expectedAnswer(requestId).getBytes(StandardCharsets.UTF_8));
        }
    }

    private void sendStream(Request request, String requestId) throws IOException {
        String streamId = request.header("Resumes").orElse(requestId);
        int lastEvent = Integer.parseInt(request.header("Last-Event-Id").orElse("0"));
        OutputStream out = request.startStream(200, "text/event-stream");
        for (int i = lastEvent + 1; i <= EVENTS_PER_STREAM; i++) {
            Pause.sleepMillis(EVENT_INTERVAL_MILLIS);
            out.write(formatEvent(streamId, i, mVersion).getBytes(StandardCharsets.UTF_8));
            out.flush();
            if (mMode == Mode.BREAKING_OFF) {
                throw new ConnectionAbortException("a simulated fault closes the connection");
            }
        }
        out.close();
    }

    /** Returns the signature in the response to a request. */
    public static String signatureOf(String requestId) {
        return "signed." + requestId;
    }

    private static String formatEvent(String streamId, int number, String version) {
        return "id: " + number + "\ndata: " + streamId + " " + number + " " + version + "\n\n";
    }
}
