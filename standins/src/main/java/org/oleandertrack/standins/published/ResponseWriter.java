package org.oleandertrack.standins.published;

import java.io.IOException;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Pause;
import org.oleandertrack.standins.http.RawConnection;

/**
 * Writes the responses of a {@link PublishedServer}.
 *
 * @param serverId id of the server, which is part of each signature
 * @param load value of the header with the server's load
 */
record ResponseWriter(RawConnection connection, String serverId, String load) {

    /** What endless bytes consist of. It occurs in no correct response. */
    static final String FILLER = "|";

    private static final int ENDLESS_PART_BYTES = 1 << 16;
    private static final long ENDLESS_INTERVAL_MILLIS = 4;
    private static final int CHUNK_CHARS = 1 << 14;

    /** How the end of a body is marked. */
    enum Framing {
        /** The head states the length. */
        LENGTH,
        /** The body consists of chunks. */
        CHUNKS,
        /** The body ends with its connection. */
        CLOSE
    }

    /** Tells until when endless bytes are written. */
    @FunctionalInterface
    interface Condition {
        /** Returns whether the writer goes on. */
        boolean holds();
    }

    /** Writes a whole response; closes the connection if this marks its end. */
    void sendWhole(int status, String requestId, String extraHeaders, String body, Framing framing)
            throws IOException {
        switch (framing) {
            case LENGTH ->
                    connection.write(
                            head(status, requestId, extraHeaders + lengthHeader(body)) + body);
            case CHUNKS -> {
                startBody(status, requestId, extraHeaders, framing);
                for (int i = 0; i < body.length(); i += CHUNK_CHARS) {
                    writeBody(body.substring(i, Math.min(body.length(), i + CHUNK_CHARS)), framing);
                }
                endBody(framing);
            }
            case CLOSE -> {
                startBody(status, requestId, extraHeaders, framing);
                writeBody(body, framing);
                endBody(framing);
            }
        }
    }

    /** Writes a part of a response and resets the connection. */
    void sendPart(String requestId, String body, Framing framing) throws IOException {
        String part = body.substring(0, body.length() / 2);
        if (framing == Framing.LENGTH) {
            connection.write(head(200, requestId, lengthHeader(body)) + part);
        } else {
            startBody(200, requestId, "", framing);
            writeBody(part, framing);
        }
        connection.reset();
        throw new ConnectionAbortException("a simulated fault cuts the response");
    }

    /** Writes the head of a response whose length is not known. */
    void startBody(int status, String requestId, String extraHeaders, Framing framing)
            throws IOException {
        String framingHeader =
                framing == Framing.CHUNKS
                        ? "Transfer-Encoding: chunked\r\n"
                        : "Connection: close\r\n";
        connection.write(head(status, requestId, extraHeaders + framingHeader));
    }

    void writeBody(String text, Framing framing) throws IOException {
        if (framing == Framing.CHUNKS) {
            connection.writeChunk(text);
        } else {
            connection.write(text);
        }
    }

    void endBody(Framing framing) throws IOException {
        if (framing == Framing.CHUNKS) {
            connection.writeChunk("");
        } else {
            connection.close();
            throw new ConnectionAbortException("the end of the connection ends the response");
        }
    }

    /** Writes filler, then resets the connection. */
    void sendEndless(Condition condition, String prefix, String suffix) throws IOException {
        int fillerBytes = ENDLESS_PART_BYTES - prefix.length() - suffix.length();
        String part = prefix + FILLER.repeat(fillerBytes) + suffix;
        while (condition.holds()) {
            connection.write(part);
            Pause.sleepMillis(ENDLESS_INTERVAL_MILLIS);
        }
        connection.reset();
        throw new ConnectionAbortException("a simulated fault has ended");
    }

    /** Writes filler as chunks, then resets the connection. */
    void sendEndlessChunks(Condition condition) throws IOException {
        while (condition.holds()) {
            connection.writeChunk(FILLER.repeat(ENDLESS_PART_BYTES));
            Pause.sleepMillis(ENDLESS_INTERVAL_MILLIS);
        }
        connection.reset();
        throw new ConnectionAbortException("a simulated fault has ended");
    }

    String head(int status, String requestId, String extraHeaders) {
        String signature =
                extraHeaders.contains(PublishedServer.NOT_EXECUTED)
                        ? ""
                        : "X-Response-Signature: "
                                + PublishedServer.signatureOf(requestId, serverId)
                                + "\r\n";
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Request-Id: "
                + requestId
                + "\r\nX-Server-Load: "
                + load
                + "\r\n"
                + signature
                + extraHeaders
                + "\r\n";
    }

    private static String lengthHeader(String body) {
        return "Content-Length: " + body.length() + "\r\n";
    }
}
