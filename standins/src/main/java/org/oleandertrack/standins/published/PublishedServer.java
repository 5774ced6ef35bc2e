package org.oleandertrack.standins.published;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Gate;
import org.oleandertrack.standins.http.Pause;
import org.oleandertrack.standins.http.RawConnection;
import org.oleandertrack.standins.http.RawRequest;
import org.oleandertrack.standins.http.RawServer;
import org.oleandertrack.standins.published.ResponseWriter.Framing;

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
        /** Executes requests and responds with a failure. */
        FAILING,
        /**
         * Breaks off the first execution of a request and responds to later ones with a failure.
         */
        FAILING_LATER_EXECUTIONS,
        /** Sends a second response after each one, late, on the same connection. */
        STUTTERING,
        /** Sends bytes without end. */
        ENDLESS
    }

    /** Number of events of a complete stream. */
    public static final int EVENTS_PER_STREAM = 5;

    /** End of the paths of requests whose response is long. */
    public static final String LONG_SUFFIX = "/long";

    /** End of the paths of requests that take {@link #SLOW_MILLIS}. */
    public static final String SLOW_SUFFIX = "/slow";

    static final String NOT_EXECUTED = "X-Not-Executed: 1\r\n";

    private static final long EVENT_INTERVAL_MILLIS = 15;
    private static final long SLOW_MILLIS = 2_000;
    private static final int LONG_BODY_LINES = 16_000;
    private static final int LONG_FAILURE_LINES = 10_000;
    private static final int SLOTS = 16;
    private static final int STUTTER_VARIANTS = 6;
    private static final int MAX_STUTTER_MILLIS = 120;

    private final String mId;
    private final String mVersion;
    private final ExecutionLog mExecutionLog;
    private final RawServer mServer;
    private final AtomicInteger mRunningRequests = new AtomicInteger();
    // Selects among the variants of a mode and among the framings of a response, in turn.
    private final AtomicInteger mExecutions = new AtomicInteger();
    private final AtomicReference<String> mLastRequestId = new AtomicReference<>("none");
    private final Gate mHangGate = new Gate();
    private volatile Mode mMode = Mode.SOUND;

    /** A request that is being executed. */
    private record Execution(RawRequest request, String requestId, int number, boolean repeated) {

        boolean isStream() {
            return request.path().startsWith("/turn/") || request.path().startsWith("/relay/");
        }

        Framing framing() {
            return switch (number % 8) {
                case 0 -> Framing.CLOSE;
                case 1, 2, 3 -> Framing.CHUNKS;
                default -> Framing.LENGTH;
            };
        }

        Framing streamFraming() {
            return framing() == Framing.CLOSE ? Framing.CLOSE : Framing.CHUNKS;
        }

        boolean isSlow() {
            return request.path().endsWith(SLOW_SUFFIX);
        }
    }

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
        mServer = new RawServer("127.0.0.1", 0, this::handle);
        mServer.start();
    }

    // Life-cycle

    @Override
    public void close() throws IOException {
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

    /** Returns the body of the complete response of a server to a request for no stream. */
    public static String expectedAnswer(String requestId, String serverId, String path) {
        String line = "answer to " + requestId + " by " + serverId + "\n";
        return path.endsWith(LONG_SUFFIX) ? line.repeat(LONG_BODY_LINES) : line;
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

    /** Returns the signature in a server's response to a request. */
    public static String signatureOf(String requestId, String serverId) {
        return "signed." + requestId + "." + serverId;
    }

    /** Removes the bytes that a server sends without end from the end of a text. */
    public static String withoutFiller(String text) {
        int end = text.indexOf(ResponseWriter.FILLER);
        return end < 0 ? text : text.substring(0, end);
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

    private void handle(RawRequest request, RawConnection connection) throws IOException {
        String requestId = request.header("X-Request-Id").orElse("");
        ResponseWriter writer =
                new ResponseWriter(
                        connection, mId, mRunningRequests.get() + ",0," + SLOTS + ",100");
        if (!request.header("X-Expected-Instance").orElse(mId).equals(mId)) {
            connection.respond(
                    c ->
                            writer.sendWhole(
                                    421,
                                    requestId,
                                    NOT_EXECUTED,
                                    "this is " + mId,
                                    Framing.LENGTH));
            return;
        }
        if (mHangGate.awaitOpen()) {
            throw new ConnectionAbortException("hung");
        }
        connection
                .takeDeferred()
                .ifPresent(
                        second -> Thread.startVirtualThread(() -> sendLate(connection, second, 0)));
        boolean repeated = !mExecutionLog.executionsOf(requestId).isEmpty();
        Execution execution =
                new Execution(request, requestId, mExecutions.getAndIncrement(), repeated);
        mRunningRequests.incrementAndGet();
        try {
            execute(execution, connection, writer);
        } finally {
            mRunningRequests.decrementAndGet();
        }
    }

    private void execute(Execution execution, RawConnection connection, ResponseWriter writer)
            throws IOException {
        Mode mode = mMode;
        if (mode == Mode.FAILING_LATER_EXECUTIONS) {
            mode = execution.repeated() ? Mode.FAILING : Mode.BREAKING_OFF;
        }
        switch (mode) {
            case FAILING -> {
                record(execution, execution.number() % 2 == 0 ? 500 : 504, false);
                connection.respond(c -> sendFailure(execution, writer));
            }
            case BREAKING_OFF -> {
                record(execution, execution.isStream() || startsBody(execution) ? 200 : 0, false);
                connection.respond(c -> breakOff(execution, writer));
            }
            case ENDLESS -> sendWithoutEnd(execution, connection, writer);
            default -> {
                record(execution, 200, false);
                if (!execution.isStream()) {
                    Pause.sleepMillis(execution.isSlow() ? SLOW_MILLIS : EVENT_INTERVAL_MILLIS);
                }
                connection.respond(c -> sendAnswer(execution, writer));
                if (mode == Mode.STUTTERING) {
                    stutter(execution, connection, writer);
                }
            }
        }
    }

    private void record(Execution execution, int status, boolean endless) {
        mExecutionLog.add(
                new ExecutionLog.Execution(
                        execution.requestId(),
                        mId,
                        execution.request().body(),
                        status,
                        endless,
                        System.nanoTime()));
    }

    private void sendAnswer(Execution execution, ResponseWriter writer) throws IOException {
        if (execution.isStream()) {
            sendEvents(execution, writer, EVENTS_PER_STREAM);
            writer.endBody(execution.streamFraming());
            return;
        }
        writer.sendWhole(200, execution.requestId(), "", answer(execution), execution.framing());
    }

    /** Sends the head of a stream and a number of events. */
    private void sendEvents(Execution execution, ResponseWriter writer, int count)
            throws IOException {
        Framing framing = execution.streamFraming();
        writer.startBody(
                200, execution.requestId(), "Content-Type: text/event-stream\r\n", framing);
        int first = lastEvent(execution) + 1;
        for (int i = first; i <= EVENTS_PER_STREAM && i < first + count; i++) {
            Pause.sleepMillis(
                    execution.isSlow() ? SLOW_MILLIS / EVENTS_PER_STREAM : EVENT_INTERVAL_MILLIS);
            writer.writeBody(formatEvent(streamId(execution), i, mVersion), framing);
        }
    }

    private void sendFailure(Execution execution, ResponseWriter writer) throws IOException {
        String line = "failure of " + execution.requestId() + " by " + mId + "\n";
        writer.sendWhole(
                execution.number() % 2 == 0 ? 500 : 504,
                execution.requestId(),
                "",
                execution.number() / 8 % 2 == 0 ? line : line.repeat(LONG_FAILURE_LINES),
                execution.framing());
    }

    private static boolean startsBody(Execution execution) {
        return execution.number() % 3 != 0;
    }

    private void breakOff(Execution execution, ResponseWriter writer) throws IOException {
        if (execution.isStream()) {
            sendEvents(execution, writer, 1);
            int number = lastEvent(execution) + 2;
            if (execution.number() % 2 == 0 && number <= EVENTS_PER_STREAM) {
                String next = formatEvent(streamId(execution), number, mVersion);
                writer.writeBody(next.substring(0, next.length() / 2), execution.streamFraming());
            }
        } else if (startsBody(execution)) {
            writer.sendPart(execution.requestId(), answer(execution), execution.framing());
        }
        writer.connection().reset();
        throw new ConnectionAbortException("a simulated fault closes the connection");
    }

    private void sendWithoutEnd(
            Execution execution, RawConnection connection, ResponseWriter writer)
            throws IOException {
        ResponseWriter.Condition condition = () -> mMode == Mode.ENDLESS;
        int variant = execution.number() % 7;
        record(execution, variant == 6 ? 500 : variant < 3 ? 0 : 200, true);
        String requestId = execution.requestId();
        connection.respond(
                c -> {
                    switch (variant) {
                        case 0 -> writer.sendEndless(condition, "", "");
                        case 1 -> {
                            c.write("HTTP/1.1 200 X\r\nX-Request-Id: " + requestId + "\r\n");
                            writer.sendEndless(condition, "X-Pad: ", "\r\n");
                        }
                        case 2 -> {
                            c.write("HTTP/1.1 ");
                            writer.sendEndless(
                                    condition, "100 Continue\r\nX-Pad: ", "\r\n\r\nHTTP/1.1 ");
                        }
                        case 3, 4 -> sendEndlessBody(execution, writer, condition);
                        case 5 -> {
                            sendAnswer(execution, writer);
                            writer.sendEndless(condition, "", "");
                        }
                        default -> {
                            writer.startBody(500, requestId, "", Framing.CLOSE);
                            writer.sendEndless(condition, "", "");
                        }
                    }
                });
    }

    private void sendEndlessBody(
            Execution execution, ResponseWriter writer, ResponseWriter.Condition condition)
            throws IOException {
        Framing framing = execution.streamFraming();
        if (execution.isStream()) {
            sendEvents(execution, writer, 1);
        } else {
            writer.startBody(200, execution.requestId(), "", framing);
            writer.writeBody(answer(execution), framing);
        }
        if (framing == Framing.CHUNKS) {
            writer.sendEndlessChunks(condition);
        } else {
            writer.sendEndless(condition, "", "");
        }
    }

    /** Sends a second response, after a delay or while the connection's next request runs. */
    private void stutter(Execution execution, RawConnection connection, ResponseWriter writer) {
        String earlierId = mLastRequestId.getAndSet(execution.requestId());
        RawConnection.Writer second = c -> sendSecond(execution, earlierId, writer);
        if (execution.number() / STUTTER_VARIANTS % 2 == 0) {
            connection.defer(second);
            return;
        }
        long delayMillis = execution.number() * 7L % MAX_STUTTER_MILLIS;
        Thread.startVirtualThread(() -> sendLate(connection, second, delayMillis));
    }

    private static void sendLate(
            RawConnection connection, RawConnection.Writer writer, long delayMillis) {
        try {
            Pause.sleepMillis(delayMillis);
            connection.respond(writer);
        } catch (IOException e) {
            // The connection has ended, as the client or the response required.
        }
    }

    private void sendSecond(Execution execution, String earlierId, ResponseWriter writer)
            throws IOException {
        String requestId = execution.requestId();
        switch (execution.number() % STUTTER_VARIANTS) {
            case 0 -> sendAnswer(execution, writer);
            case 1 ->
                    writer.sendWhole(
                            200, earlierId, "", expectedAnswer(earlierId, mId, ""), Framing.LENGTH);
            case 2 -> sendFailure(execution, writer);
            case 3 ->
                    writer.sendWhole(
                            503,
                            requestId,
                            NOT_EXECUTED + "Retry-After: 0.1\r\n",
                            "full\n",
                            Framing.LENGTH);
            case 4 -> writer.sendWhole(421, requestId, NOT_EXECUTED, "", Framing.LENGTH);
            default -> breakOff(execution, writer);
        }
    }

    private String answer(Execution execution) {
        return expectedAnswer(execution.requestId(), mId, execution.request().path());
    }

    private static String streamId(Execution execution) {
        return execution.request().header("Resumes").orElse(execution.requestId());
    }

    private static int lastEvent(Execution execution) {
        return Integer.parseInt(execution.request().header("Last-Event-Id").orElse("0"));
    }

    private static String formatEvent(String streamId, int number, String version) {
        return "id: " + number + "\ndata: " + streamId + " " + number + " " + version + "\n\n";
    }
}
