package org.oleandertrack.standins.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes the bytes of each connection to a server of this process and interrupts the thread that
 * handles a request when the client closes its connection. The JDK's HTTP server does not report a
 * closed connection before it writes, so it cannot tell that a waiting request was cancelled.
 * Thread-safe.
 */
public final class ConnectionRelay {

    private static final int BACKLOG_CONNECTIONS = 1024;

    private final ServerSocket mListener;
    private final int mServerPort;
    private final Map<Integer, RelayedConnection> mConnectionsByPort = new ConcurrentHashMap<>();

    /**
     * Binds the address; port 0 takes a free port.
     *
     * @param serverPort the port of the server on the loopback address
     * @throws IOException if the address cannot be bound
     */
    public ConnectionRelay(String address, int port, int serverPort) throws IOException {
        mServerPort = serverPort;
        mListener = new ServerSocket();
        mListener.setReuseAddress(true);
        mListener.bind(new InetSocketAddress(address, port), BACKLOG_CONNECTIONS);
    }

    // Life-cycle

    /** Starts to accept connections. */
    public void start() {
        Thread.ofVirtual().name("relay-accept").start(this::acceptAll);
    }

    /** Stops accepting and closes all connections. */
    public void stop() throws IOException {
        mListener.close();
        mConnectionsByPort.values().forEach(RelayedConnection::close);
    }

    // Accessors

    public int port() {
        return mListener.getLocalPort();
    }

    // Operations

    /**
     * Runs a handler whose thread is interrupted when the client closes its connection.
     *
     * @throws IOException what the handler throws, or that the client has already gone
     */
    public void runUntilClosed(Request request, RequestHandler handler) throws IOException {
        int relayPort = request.exchange().getRemoteAddress().getPort();
        RelayedConnection connection = mConnectionsByPort.get(relayPort);
        if (connection == null) {
            throw new ConnectionAbortException("the client has closed the connection");
        }
        connection.setHandlingThread(Thread.currentThread());
        try {
            handler.handle(request);
        } finally {
            connection.clearHandlingThread();
        }
    }

    // Helpers

    private void acceptAll() {
        while (!mListener.isClosed()) {
            try {
                Socket client = mListener.accept();
                Thread.ofVirtual().name("relay-connect").start(() -> relay(client));
            } catch (IOException e) {
                if (!mListener.isClosed()) {
                    System.err.println("accepting a connection failed: " + e);
                }
            }
        }
    }

    private void relay(Socket client) {
        try (client;
                Socket server = new Socket(InetAddress.getLoopbackAddress(), mServerPort)) {
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            RelayedConnection connection = new RelayedConnection(client, server);
            mConnectionsByPort.put(server.getLocalPort(), connection);
            try {
                connection.run();
            } finally {
                mConnectionsByPort.remove(server.getLocalPort(), connection);
            }
        } catch (IOException e) {
            System.err.println("relaying a connection failed: " + e);
        }
    }
}
