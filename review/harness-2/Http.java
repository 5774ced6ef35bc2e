import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over blocking sockets: a server, a client connection, and their messages. */
final class Http {

    private Http() {}

    /** A message; the first line is a request line or a status line. Header names in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String uri() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles a request whose head was read; reads the body and writes the response itself. */
    interface Handler {
        void handle(Message head, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    /** Accepts connections on one address; each has a thread of its own. */
    static final class Server implements Closeable {
        private final ServerSocket mSocket = new ServerSocket();
        private final java.util.Set<Socket> mOpen =
                java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            mSocket.setReuseAddress(true);
            mSocket.bind(new InetSocketAddress(ip, port), 1_024);
            Thread.ofVirtual().start(() -> accept(handler));
        }

        int port() {
            return mSocket.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!mSocket.isClosed()) {
                try {
                    Socket socket = mSocket.accept();
                    mOpen.add(socket);
                    Thread.ofVirtual().start(() -> serve(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (!socket.isClosed()) {
                    handler.handle(readHead(in), in, out, socket);
                }
            } catch (Exception e) {
                // The peer has closed the connection, or the stand-in has.
            } finally {
                mOpen.remove(socket);
            }
        }

        /** Stops listening and resets all connections, as the crash of a process does. */
        @Override
        public void close() throws IOException {
            mSocket.close();
            for (Socket socket : mOpen) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    /** A kept connection of a client. */
    static final class Connection implements Closeable {
        final Socket mSocket = new Socket();
        final InputStream mIn;
        final OutputStream mOut;

        Connection(String ip, int port, int timeoutMillis) throws IOException {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(ip, port), 1_000);
            mSocket.setSoTimeout(timeoutMillis);
            mIn = new BufferedInputStream(mSocket.getInputStream());
            mOut = mSocket.getOutputStream();
        }

        void send(String method, String uri, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body.length > 0) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            mOut.write(bytes.toByteArray());
            mOut.flush();
        }

        Message receive() throws IOException {
            Message head = readHead(mIn);
            return new Message(head.firstLine(), head.headers(), readBody(head, mIn));
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a body with a length or in chunks. */
    static byte[] readBody(Message head, InputStream in) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
            return body.toByteArray();
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    static void respond(
            OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
