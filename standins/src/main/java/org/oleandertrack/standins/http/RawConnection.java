package org.oleandertrack.standins.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;

/** A connection of a {@link RawServer}, on which handlers write responses. Thread-safe. */
public final class RawConnection {

    /** Writes the bytes of a response. */
    @FunctionalInterface
    public interface Writer {

        /** Writes to the connection. */
        void write(RawConnection connection) throws IOException;
    }

    private final Socket mSocket;
    private final OutputStream mOut;
    private final ReentrantLock mResponseLock = new ReentrantLock();
    private final AtomicReference<Optional<Writer>> mDeferred =
            new AtomicReference<>(Optional.empty());

    RawConnection(Socket socket) throws IOException {
        mSocket = socket;
        mOut = socket.getOutputStream();
    }

    /** Writes a response; waits while another one is being written. */
    public void respond(Writer writer) throws IOException {
        mResponseLock.lock();
        try {
            writer.write(this);
        } finally {
            mResponseLock.unlock();
        }
    }

    /** Keeps a response until the next request of the connection has been read. */
    public void defer(Writer writer) {
        mDeferred.set(Optional.of(writer));
    }

    /** Returns the deferred response, if there is one, and forgets it. */
    public Optional<Writer> takeDeferred() {
        return mDeferred.getAndSet(Optional.empty());
    }

    /** Sends bytes at once. */
    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends bytes at once. */
    public void write(byte[] bytes) throws IOException {
        mOut.write(bytes);
        mOut.flush();
    }

    /** Sends a chunk of a body in chunks; an empty one ends the body. */
    public void writeChunk(String text) throws IOException {
        int size = text.getBytes(StandardCharsets.UTF_8).length;
        write(Integer.toHexString(size) + "\r\n" + text + "\r\n");
    }

    /** Closes the connection. */
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            System.err.println("failed to close a connection; continuing: " + e);
        }
    }

    /** Resets the connection. */
    public void reset() {
        try {
            mSocket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is closed already.
        }
        close();
    }
}
