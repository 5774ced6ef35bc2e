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

/** Passes the bytes of connections on and harms them on demand. Thread-safe. */
final class FaultProxy implements AutoCloseable {

    /** What happens to bytes. */
    enum Mode {
        /** They are passed on. */
        PASS,
        /** They are passed on late. */
        DELAY,
        /** They are dropped in both directions; connections stay open. */
        SILENT,
        /** Those from the server are dropped; requests arrive. */
        ONE_WAY,
        /** Open connections are reset, and new ones at once. */
        RESET
    }

    private static final long DELAY_NANOS = 250_000_000L;
    private static final int BUFFER_BYTES = 16_384;

    private final ServerSocket mListener;
    private final int mServerPort;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mMode = Mode.PASS;

    /** Starts to pass connections on to a port of the loopback address. */
    FaultProxy(int serverPort) throws IOException {
        mListener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        mServerPort = serverPort;
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    void setMode(Mode mode) {
        Mode before = mMode;
        mMode = mode;
        boolean lostBytes = before == Mode.SILENT || before == Mode.ONE_WAY;
        if (mode == Mode.RESET || lostBytes) {
            // A connection that has lost bytes never gets them back.
            mSockets.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        mSockets.forEach(FaultProxy::reset);
    }

    private void accept() {
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
                Thread.startVirtualThread(() -> pump(client, server, false));
                Thread.startVirtualThread(() -> pump(server, client, true));
            } catch (IOException e) {
                // The listener was closed, or the server does not take the connection.
                LockSupport.parkNanos(1_000_000);
            }
        }
    }

    private void pump(Socket from, Socket to, boolean fromServer) {
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
            // It was closed before.
        }
    }
}
