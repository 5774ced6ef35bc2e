package org.oleandertrack.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/** A TCP proxy on loopback that can delay, drop or reset connections. Thread-safe. */
final class FaultProxy implements AutoCloseable {

    /** How the proxy treats the bytes of all its connections. */
    enum Mode {
        /** Bytes are forwarded. */
        PASS,
        /** Bytes are forwarded after a delay. */
        DELAY,
        /** Bytes are dropped in both directions; connections stay open. */
        SILENT,
        /** Bytes from the server are dropped; bytes from the client are forwarded. */
        ONE_WAY,
        /** Open connections are reset, and new ones as soon as they are accepted. */
        RESET
    }

    private static final long DELAY_NANOS = 250_000_000L;
    private static final int BUFFER_BYTES = 16_384;

    private final ServerSocket mListener;
    private final int mServerPort;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mMode = Mode.PASS;

    /** Starts a proxy that forwards connections to the given port of the loopback address. */
    FaultProxy(int serverPort) throws IOException {
        mListener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        mServerPort = serverPort;
        Thread.startVirtualThread(this::acceptConnections);
    }

    int port() {
        return mListener.getLocalPort();
    }

    void setMode(Mode mode) {
        Mode previous = mMode;
        mMode = mode;
        boolean droppedBytes = previous == Mode.SILENT || previous == Mode.ONE_WAY;
        if (mode == Mode.RESET || droppedBytes) {
            // Dropped bytes cannot be sent later, so connections that were open meanwhile are no
            // longer usable.
            mSockets.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        mSockets.forEach(FaultProxy::reset);
    }

    private void acceptConnections() {
        while (!mListener.isClosed()) {
            try {
                Socket client = mListener.accept();
                mSockets.add(client);
                if (mMode == Mode.RESET) {
                    reset(client);
                    continue;
                }
                Socket server = new Socket(InetAddress.getLoopbackAddress(), mServerPort);
                mSockets.add(server);
                Thread.startVirtualThread(() -> forward(client, server, false));
                Thread.startVirtualThread(() -> forward(server, client, true));
            } catch (IOException e) {
                // The listener was closed, or the server refused the connection.
                LockSupport.parkNanos(1_000_000);
            }
        }
    }

    private void forward(Socket from, Socket to, boolean fromServer) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                Mode mode = mMode;
                if (mode == Mode.DELAY) {
                    LockSupport.parkNanos(DELAY_NANOS);
                }
                boolean dropped = mode == Mode.SILENT || (mode == Mode.ONE_WAY && fromServer);
                if (!dropped) {
                    out.write(buffer, 0, count);
                }
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }
}
