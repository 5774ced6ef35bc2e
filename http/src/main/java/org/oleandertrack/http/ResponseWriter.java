package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Writes the response to one request. Use on the connection's event loop only. Writes after the
 * connection was closed are dropped.
 */
public interface ResponseWriter {

    /** Sets the listener, which is told about the connection from then on. */
    void setListener(Listener listener);

    /** Writes a whole response and ends the exchange. */
    void respond(FullHttpResponse response);

    /** Writes the head of a response whose body follows. */
    void start(HttpResponse head);

    /** Writes and flushes a part of the body; takes ownership of it. */
    void write(ByteBuf part);

    /** Ends a response that was started, as complete. */
    void end();

    /** Closes the connection, so that a response that was started is visibly incomplete. */
    void abort();

    /** Returns whether a write would not have to wait for the peer to read. */
    boolean isWritable();

    /** Returns whether the connection is still open. */
    boolean isOpen();

    /** Returns the event loop of the connection. */
    EventLoop eventLoop();

    /** Is told what happens to the connection during an exchange. */
    interface Listener {

        /** The peer closed the connection before the response had ended. */
        void onClosed();

        /** Whether a write would have to wait has changed. */
        void onWritabilityChanged(boolean writable);
    }
}
