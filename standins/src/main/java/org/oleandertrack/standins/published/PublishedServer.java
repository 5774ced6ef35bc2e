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
 * A server of the users: answers streams with numbered events and other requests with one body. It
 * can fail while it says that it is well. Thread-safe.
 */
public final class PublishedServer implements AutoCloseable {

    /** What the server does with requests. */
    public enum Mode {
        /** It runs and answers them. */
        SOUND,
        /** It accepts them and does not answer. */
        HANGING,
        /** It runs them and breaks the connection off, streams after their first event. */
        BREAKING_OFF,
        /** It answers with a failure of its own. */
        FAILING
    }

    /** Number of events of a whole stream. */
    public static final int EVENTS = 5;

    /** Path under which a request is answered with a stream. */
    public static final String STREAM_PATH = "/turn/";

    private static final long EVENT_MILLIS = 15;
    private static final int SLOTS = 16;

    private final String mId;
    private final RunLog mRuns;
    private final StandinServer mServer;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final Gate mHanging = new Gate();
    private volatile Mode mMode = Mode.SOUND;

    /** Starts a server on a free port of the loopback address. */
    public PublishedServer(String id, RunLog runs) throws IOException {
        mId = id;
        mRuns = runs;
        mServer = new StandinServer("127.0.0.1", 0, this::handle);
        mServer.start();
    }

    // Life-cycle

    @Override
    public void close() {
        mHanging.setClosed(false);
        mServer.stop();
    }

    // Accessors

    public String id() {
        return mId;
    }

    public int port() {
        return mServer.port();
    }

    public int slots() {
        return SLOTS;
    }

    /** Returns the body of a request's whole answer, or its events. */
    public static String expectedBody(String requestId, boolean stream) {
        if (!stream) {
            return "answer to " + requestId;
        }
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append(event(requestId, i));
        }
        return events.toString();
    }

    // Operations

    /** Changes what the server does; requests that hang are broken off by any other mode. */
    public void setMode(Mode mode) {
        mMode = mode;
        mHanging.setClosed(mode == Mode.HANGING);
    }

    // Helpers

    private void handle(Request request) throws IOException {
        String requestId = request.header("X-Request-Id").orElse("");
        var headers = request.exchange().getResponseHeaders();
        headers.set("X-Request-Id", requestId);
        headers.set("X-Server-Load", mRunning.get() + ",0," + SLOTS + ",100");
        String expected = request.header("X-Expected-Instance").orElse(mId);
        if (!expected.equals(mId)) {
            headers.set("X-Not-Executed", "1");
            request.sendError(421, "this is " + mId);
            return;
        }
        if (mHanging.pass()) {
            throw new ConnectionAbortException("hung");
        }
        mRunning.incrementAndGet();
        try {
            run(request, requestId);
        } finally {
            mRunning.decrementAndGet();
        }
    }

    private void run(Request request, String requestId) throws IOException {
        mRuns.add(new RunLog.Run(requestId, mId, System.nanoTime()));
        request.exchange().getResponseHeaders().set("X-Response-Signature", signature(requestId));
        if (mMode == Mode.FAILING) {
            request.sendError(500, "failing on purpose");
        } else if (request.path().startsWith(STREAM_PATH)) {
            stream(request, requestId);
        } else if (mMode == Mode.BREAKING_OFF) {
            throw new ConnectionAbortException("broken off on purpose");
        } else {
            Pause.millis(EVENT_MILLIS);
            request.send(
                    200,
                    "text/plain",
                    expectedBody(requestId, false).getBytes(StandardCharsets.UTF_8));
        }
    }

    private void stream(Request request, String requestId) throws IOException {
        int last = Integer.parseInt(request.header("Last-Event-Id").orElse("0"));
        OutputStream out = request.startStream(200, "text/event-stream");
        for (int i = last + 1; i <= EVENTS; i++) {
            Pause.millis(EVENT_MILLIS);
            out.write(event(requestId, i).getBytes(StandardCharsets.UTF_8));
            out.flush();
            if (mMode == Mode.BREAKING_OFF) {
                throw new ConnectionAbortException("broken off on purpose");
            }
        }
        out.close();
    }

    /** Returns the signature that an answer to a request bears. */
    public static String signature(String requestId) {
        return "signed." + requestId;
    }

    private static String event(String requestId, int number) {
        return "id: " + number + "\ndata: " + requestId + " " + number + "\n\n";
    }
}
