package org.oleandertrack.gateway.host;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller with one connection to the gateway. */
final class TestClient implements Closeable {

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket mSocket;
    private final InputStream mInput;

    TestClient(InetSocketAddress address) throws IOException {
        mSocket = new Socket(address.getAddress(), address.getPort());
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.setTcpNoDelay(true);
        mInput = new BufferedInputStream(mSocket.getInputStream());
    }

    void send(String method, String path, String id, String headers, String body)
            throws IOException {
        write(
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: host\r\nId: "
                        + id
                        + "\r\n"
                        + headers
                        + (body.isEmpty()
                                ? ""
                                : "Content-Length: "
                                        + body.getBytes(StandardCharsets.UTF_8).length
                                        + "\r\n")
                        + "\r\n"
                        + body);
    }

    void write(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        mSocket.getOutputStream().flush();
    }

    /**
     * Reads until the given text has arrived; the result ends with {@code <closed>} if it never
     * does.
     */
    String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end, Math.max(0, text.length() - end.length())) < 0) {
            int next = mInput.read();
            if (next < 0) {
                return text + "<closed>";
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Reads a complete response, delimited by its length or its last chunk. */
    String readAnswer() throws IOException {
        String head = readUntil("\r\n\r\n");
        String length = ScriptedTarget.header(head, "content-length");
        if (length.isEmpty()) {
            return head.contains("chunked") ? head + readUntil("\r\n0\r\n\r\n") : head;
        }
        byte[] body = mInput.readNBytes(Integer.parseInt(length));
        return head + new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
