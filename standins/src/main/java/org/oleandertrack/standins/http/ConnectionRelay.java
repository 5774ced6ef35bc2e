package org.oleandertrack.standins.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay in front of an HTTP server of this process that interrupts the thread handling a
 * request when the client closes its connection. The JDK's HTTP server detects a closed connection
 * only when it writes, too late to cancel a request that is still waiting. Thread-safe.
 */
public final class ConnectionRelay {

    private static final int BACKLOG_CONNECTIONS = 1024;

    private final ServerSocket mServerSocket;
    private final int mServerPort;
    private final Map<Integer, RelayedConnection> mConnectionsByPort = new ConcurrentHashMap<>();

    /**
     * Binds the address; port 0 means a free port.
     *
     * @param serverPort the port of the server on the loopback address
     * @throws IOException if the address cannot be bound
     */
    public ConnectionRelay(String address, int port, int serverPort) throws IOException {
        mServerPort = serverPort;
        mServerSocket = new ServerSocket();
        mServerSocket.setReuseAddress(true);
        mServerSocket.bind(new InetSocketAddress(address, port), BACKLOG_CONNECTIONS);
    }

    // Life-cycle

    /** Starts accepting connections. */
    public void start() {
        Thread.ofVirtual().name("relay-accept").start(this::acceptConnections);
    }

    /** Stops accepting and closes all connections. */
    public void stop() throws IOException {
        mServerSocket.close();
        mConnectionsByPort.values().forEach(RelayedConnection::close);
    }

    // Accessors

    public int port() {
        return mServerSocket.getLocalPort();
    }

    // Operations

    /**
     * Runs a handler on the calling thread, and interrupts this thread if the client closes its
     * connection before the handler returns.
     *
     * @throws ConnectionAbortException if the client closed its connection before the handler was
     *     started
     * @throws IOException if the handler throws it
     */
    public void handleUntilClosed(Request request, RequestHandler handler) throws IOException {
        int relayClientPort = request.exchange().getRemoteAddress().getPort();
        RelayedConnection connection = mConnectionsByPort.get(relayClientPort);
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

    private void acceptConnections() {
        while (!mServerSocket.isClosed()) {
            try {
                Socket client = mServerSocket.accept();
                Thread.ofVirtual().name("relay-connect").start(() -> relay(client));
            } catch (IOException e) {
                if (!mServerSocket.isClosed()) {
                    System.err.println("failed to accept a connection; continuing: " + e);
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
                connection.relayUntilClosed();
            } finally {
                mConnectionsByPort.remove(server.getLocalPort(), connection);
            }
        } catch (IOException e) {
            System.err.println("failed to relay a connection; closing it: " + e);
        }
    }
}
