package org.oleandertrack.standins.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP/1.1 server whose handlers write the bytes of a response themselves, so that they can also
 * send bytes that no correct server sends. It handles one request at a time on a connection.
 * Thread-safe.
 */
public final class RawServer {

    /** Handles the requests of a {@link RawServer}. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request. The connection stays open if the handler returns, and is closed if it
         * throws.
         */
        void handle(RawRequest request, RawConnection connection) throws IOException;
    }

    private static final int BACKLOG_CONNECTIONS = 1024;

    private final ServerSocket mListener;
    private final Handler mHandler;
    private final Set<RawConnection> mConnections = ConcurrentHashMap.newKeySet();

    /**
     * Binds the address; port 0 means a free port.
     *
     * @throws IOException if the address cannot be bound
     */
    public RawServer(String address, int port, Handler handler) throws IOException {
        mHandler = handler;
        mListener = new ServerSocket();
        mListener.bind(
                new InetSocketAddress(InetAddress.getByName(address), port), BACKLOG_CONNECTIONS);
    }

    // Life-cycle

    /** Starts accepting connections. */
    public void start() {
        Thread.ofVirtual().name("raw-accept").start(this::acceptConnections);
    }

    /** Stops accepting and closes all connections without waiting for running requests. */
    public void stop() throws IOException {
        mListener.close();
        mConnections.forEach(RawConnection::close);
    }

    // Accessors

    public int port() {
        return mListener.getLocalPort();
    }

    // Helpers

    private void acceptConnections() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                Thread.ofVirtual().name("raw-connection").start(() -> serve(socket));
            } catch (IOException e) {
                if (!mListener.isClosed()) {
                    System.err.println("failed to accept a connection; continuing: " + e);
                }
            }
        }
    }

    private void serve(Socket socket) {
        RawConnection connection = null;
        try {
            socket.setTcpNoDelay(true);
            connection = new RawConnection(socket);
            mConnections.add(connection);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (var request = RawRequest.read(in);
                    request.isPresent();
                    request = RawRequest.read(in)) {
                mHandler.handle(request.get(), connection);
            }
        } catch (IOException e) {
            // The client or the handler ended the connection, which is closed below.
        } finally {
            if (connection != null) {
                connection.close();
                mConnections.remove(connection);
            }
        }
    }
}
