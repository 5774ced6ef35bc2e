package org.oleandertrack.gateway.host;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A target over plain sockets, for which a test scripts the bytes of each response. */
final class ScriptedTarget implements Closeable {

    /** Handles the requests of a target. */
    @FunctionalInterface
    interface Script {

        /**
         * Handles a request.
         *
         * @param number index of the request at this target, from 0
         */
        void handle(Exchange exchange, int number) throws IOException;
    }

    private final ServerSocket mServer;
    private final Script mScript;
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final List<String> mBodies = new CopyOnWriteArrayList<>();
    private final List<String> mClosedByPeer = new CopyOnWriteArrayList<>();

    ScriptedTarget(Script script) throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mScript = script;
        Thread.startVirtualThread(this::acceptLoop);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Returns the heads of the requests received so far. */
    List<String> requests() {
        return mRequests;
    }

    /** Returns the bodies of the requests received so far. */
    List<String> bodies() {
        return mBodies;
    }

    /** Returns the heads of the requests for which {@link Exchange#awaitPeerClose} saw a close. */
    List<String> closedByPeer() {
        return mClosedByPeer;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void acceptLoop() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                Thread.startVirtualThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the target.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            boolean later = false;
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = socket.getInputStream().readNBytes(contentLength(head));
                int number;
                synchronized (mRequests) {
                    number = mRequests.size();
                    mRequests.add(head);
                    mBodies.add(new String(body, StandardCharsets.UTF_8));
                }
                mScript.handle(new Exchange(this, socket, head, later), number);
                later = true;
            }
        } catch (IOException e) {
            // The script or the peer closed the connection.
        }
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        return head.lines()
                .filter(
                        line ->
                                line.toLowerCase(java.util.Locale.ROOT)
                                        .startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":"))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    private static int contentLength(String head) {
        String length = header(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    /**
     * A request and the connection on which it arrived.
     *
     * @param isLaterOnConnection whether the connection has carried another request before
     */
    record Exchange(
            ScriptedTarget target, Socket socket, String head, boolean isLaterOnConnection) {

        String id() {
            return header(head, "Id");
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        void answer(int status, String headers, String body) throws IOException {
            write(
                    "HTTP/1.1 "
                            + status
                            + " X\r\nId: "
                            + id()
                            + "\r\n"
                            + headers
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /** Writes the head of an event stream, and one HTTP chunk for each given text. */
        void startStream(String... chunks) throws IOException {
            write(
                    "HTTP/1.1 200 OK\r\nId: "
                            + id()
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding:"
                            + " chunked\r\n\r\n");
            for (String chunk : chunks) {
                chunk(chunk);
            }
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Lets time pass on the connection; ends earlier if the peer closes it. */
        void pauseMillis(int millis) throws IOException {
            socket.setSoTimeout(millis);
            try {
                if (socket.getInputStream().read() < 0) {
                    throw new IOException("the peer has closed the connection");
                }
            } catch (SocketTimeoutException e) {
                socket.setSoTimeout(0);
            }
        }

        /** Waits until the peer closes the connection, and records that it did. */
        void awaitPeerClose() throws IOException {
            if (socket.getInputStream().read() < 0) {
                target.mClosedByPeer.add(head);
            }
        }
    }
}
