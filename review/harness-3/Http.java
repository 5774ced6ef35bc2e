import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on blocking sockets: messages, and a server with a thread per connection. */
final class Http {

    /** A request or response. The first line is kept whole. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String method() {
            return firstLine.substring(0, firstLine.indexOf(' '));
        }

        String target() {
            return firstLine.split(" ", 3)[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ", 3)[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A connection with a buffered input. */
    static final class Connection implements AutoCloseable {
        final Socket mSocket;
        final InputStream mIn;

        Connection(Socket socket) throws IOException {
            mSocket = socket;
            socket.setTcpNoDelay(true);
            mIn = new BufferedInputStream(socket.getInputStream(), 1 << 14);
        }

        static Connection open(String host, int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 1_000);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            mSocket.getOutputStream().write(bytes);
            mSocket.getOutputStream().flush();
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }

        /** Reads a head; the body is read by {@link #readBody}. Null at the end of the stream. */
        Message readHead() throws IOException {
            String first = readLine();
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                headers.merge(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim(),
                        (a, b) -> a + ", " + b);
            }
            return new Message(first, headers, new byte[0]);
        }

        Message readRequest() throws IOException {
            Message head = readHead();
            return head == null
                    ? null
                    : new Message(head.firstLine(), head.headers(), readBody(head, false));
        }

        Message readResponse() throws IOException {
            Message head = readHead();
            if (head == null) {
                throw new EOFException("the connection was closed without a response");
            }
            return new Message(head.firstLine(), head.headers(), readBody(head, true));
        }

        private byte[] readBody(Message head, boolean response) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
                while (true) {
                    String size = readLine();
                    if (size == null) {
                        throw new EOFException("the body ended early");
                    }
                    int bytes = Integer.parseInt(size.trim(), 16);
                    body.write(readBytes(bytes));
                    readLine();
                    if (bytes == 0) {
                        return body.toByteArray();
                    }
                }
            }
            String length = head.header("content-length");
            if (!length.isEmpty()) {
                return readBytes(Integer.parseInt(length));
            }
            if (response && head.status() != 204 && head.status() != 304) {
                mIn.transferTo(body);
            }
            return body.toByteArray();
        }

        private byte[] readBytes(int count) throws IOException {
            byte[] bytes = mIn.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("the body ended early");
            }
            return bytes;
        }

        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = mIn.read();
                if (next < 0) {
                    if (line.size() > 0) {
                        throw new EOFException("the head ended early");
                    }
                    return null;
                }
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
        }
    }

    /** Handles one request of a connection. The connection is closed after an exception. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A server with a virtual thread per connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mSocket;
        private final Handler mHandler;
        final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            mSocket = new ServerSocket();
            mSocket.setReuseAddress(true);
            mSocket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            mHandler = handler;
            Thread.startVirtualThread(this::accept);
        }

        int port() {
            return mSocket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = mSocket.accept();
                    Thread.startVirtualThread(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (Connection connection = new Connection(socket)) {
                mConnections.add(connection);
                try {
                    for (Message request = connection.readRequest();
                            request != null;
                            request = connection.readRequest()) {
                        mHandler.handle(request, connection);
                    }
                } finally {
                    mConnections.remove(connection);
                }
            } catch (Exception e) {
                // The peer or the handler has ended the connection.
            }
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
            for (Connection connection : mConnections) {
                connection.reset();
            }
        }
    }

    static String response(int status, String extraHeaders, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\n"
                + extraHeaders
                + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n"
                + body;
    }
}
