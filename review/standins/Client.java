import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** Stand-in of a client. Each call uses a new connection. */
final class Client {
    /**
     * What a client has received.
     *
     * @param status status code; 0 if there was no head
     * @param whole whether the response ended as complete
     * @param events ids of the events of a stream, in order
     * @param failure why the response is not whole; empty if it is
     */
    record Response(
            int status,
            boolean signed,
            boolean whole,
            byte[] body,
            List<String> events,
            long millis,
            String failure) {}

    private final InetSocketAddress mRemote;

    Client(InetSocketAddress remote) {
        mRemote = remote;
    }

    /**
     * Makes a call and waits for its response.
     *
     * @param gapMillis longest time without data after which the client leaves, in milliseconds
     * @param deadlineMillis time after which the client leaves in any case, in milliseconds
     */
    Response call(
            String method,
            String path,
            List<String> fields,
            byte[] body,
            int gapMillis,
            int deadlineMillis) {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + deadlineMillis * 1_000_000L;
        int status = 0;
        boolean signed = false;
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String failure = "";
        boolean whole = false;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(mRemote, 1_000);
            socket.setSoTimeout(timeoutMillis(gapMillis, endNanos));
            StringBuilder head =
                    new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: app.example\r\n");
            fields.forEach(field -> head.append(field).append("\r\n"));
            if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            socket.getOutputStream().write(Http.ascii(head + "\r\n"));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) {
                throw new IOException("the connection was closed without an answer");
            }
            status = answer.status();
            signed = answer.field("X-Response-Signature").isPresent();
            Http.readBody(
                    in,
                    answer,
                    true,
                    (bytes, offset, length) -> {
                        received.write(bytes, offset, length);
                        socket.setSoTimeout(timeoutMillis(gapMillis, endNanos));
                    });
            whole = true;
        } catch (IOException e) {
            failure = e.toString();
        }
        return new Response(
                status,
                signed,
                whole,
                received.toByteArray(),
                eventIds(received.toString()),
                (System.nanoTime() - startNanos) / 1_000_000,
                failure);
    }

    private static int timeoutMillis(int gapMillis, long endNanos) throws SocketTimeoutException {
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
            throw new SocketTimeoutException("the deadline has passed");
        }
        return (int) Math.min(gapMillis, leftMillis);
    }

    private static List<String> eventIds(String text) {
        List<String> ids = new ArrayList<>();
        for (String event : text.substring(0, text.lastIndexOf("\n\n") + 1).split("\n\n")) {
            for (String line : event.split("\n")) {
                if (line.startsWith("id:")) {
                    ids.add(line.substring(3).trim());
                }
            }
        }
        return ids;
    }
}
