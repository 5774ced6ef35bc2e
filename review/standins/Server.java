import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in of a server. What it answers is decided by a handler of the case. */
final class Server {
    /** Answers one request. */
    interface Handler {
        void handle(Server server, Http.Head head, byte[] body, Connection connection)
                throws IOException, InterruptedException;
    }

    /** The connection on which a request has arrived. */
    static final class Connection {
        private final Socket mSocket;
        private final OutputStream mOut;

        Connection(Socket socket) throws IOException {
            mSocket = socket;
            mOut = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            write(Http.ascii(text));
        }

        void write(byte[] bytes) throws IOException {
            mOut.write(bytes);
            mOut.flush();
        }

        /** Writes an answer with a length. */
        void answer(int status, String requestId, String extraFields, byte[] body)
                throws IOException {
            write(
                    "HTTP/1.1 "
                            + status
                            + " X\r\nX-Request-Id: "
                            + requestId
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n"
                            + extraFields
                            + "\r\n");
            write(body);
        }

        /** Refuses a request as a server with a full queue does. */
        void shed() throws IOException {
            write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void close() throws IOException {
            mSocket.close();
        }

        void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }
    }

    private final String mId;
    private final ServerSocket mListener;
    private final Handler mHandler;

    Server(String id, Handler handler) throws IOException {
        mId = id;
        mHandler = handler;
        mListener = new ServerSocket();
        mListener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Thread.ofVirtual().start(this::acceptAll);
    }

    String id() {
        return mId;
    }

    /** Refuses new connections from now on, as a crashed process does. */
    void stopListening() throws IOException {
        mListener.close();
    }

    /** Returns the entry that the server writes to the store. */
    String entry(String service, int slots) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\"127.0.0.1:"
                + mListener.getLocalPort()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
                + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = mListener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                byte[] body = Http.readBody(in, head);
                if (!head.field("X-Expected-Instance").orElse(mId).equals(mId)) {
                    socket.getOutputStream()
                            .write(Http.ascii("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                mHandler.handle(this, head, body, new Connection(socket));
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed its connection.
        }
    }
}
