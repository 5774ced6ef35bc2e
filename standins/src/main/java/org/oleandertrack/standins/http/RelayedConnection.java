package org.oleandertrack.standins.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** A client connection and the server connection to which its bytes are relayed. Thread-safe. */
final class RelayedConnection {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final Socket mClient;
    private final Socket mServer;
    private Thread mHandlingThread;
    private boolean mClosedByClient;

    RelayedConnection(Socket client, Socket server) {
        mClient = client;
        mServer = server;
    }

    /** Relays bytes in both directions until either side closes, then closes both connections. */
    void relayUntilClosed() {
        Thread responseCopier =
                Thread.ofVirtual()
                        .name("relay-answers")
                        .start(
                                () -> {
                                    copy(mServer, mClient);
                                    close();
                                });
        copy(mClient, mServer);
        markClosedByClient();
        close();
        try {
            responseCopier.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void setHandlingThread(Thread thread) throws ConnectionAbortException {
        if (mClosedByClient) {
            throw new ConnectionAbortException("the client has closed the connection");
        }
        mHandlingThread = thread;
    }

    synchronized void clearHandlingThread() {
        mHandlingThread = null;
    }

    void close() {
        closeQuietly(mClient);
        closeQuietly(mServer);
    }

    private synchronized void markClosedByClient() {
        mClosedByClient = true;
        if (mHandlingThread != null) {
            mHandlingThread.interrupt();
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // A reset or closed connection ends the copying, as the end of the stream does.
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            System.err.println("closing a connection failed: " + e);
        }
    }
}
