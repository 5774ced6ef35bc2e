package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Writes the response to one request. Must be used on the connection's event loop. Writes after the
 * response has ended or the connection was closed have no effect.
 */
public interface ResponseWriter {

    /** Sets the listener for later events of the connection. */
    void setListener(Listener listener);

    /** Writes a complete response and ends the exchange. */
    void respond(FullHttpResponse response);

    /** Writes the head of a response whose body follows by {@link #write} and {@link #end}. */
    void start(HttpResponse head);

    /** Writes and flushes a part of the body; takes ownership of the buffer. */
    void write(ByteBuf part);

    /** Completes a response that was started. */
    void end();

    /** Closes the connection, so that the client notices that a started response is incomplete. */
    void abort();

    /** Returns whether the connection's outbound buffer is below its high-water mark. */
    boolean isWritable();

    /** Returns whether the connection is still open. */
    boolean isOpen();

    /** Returns the event loop of the connection. */
    EventLoop eventLoop();

    /** Receives events of the connection during an exchange. */
    interface Listener {

        /** The connection was closed before the response had ended. */
        void onClosed();

        /** The result of {@link ResponseWriter#isWritable} has changed. */
        void onWritabilityChanged(boolean writable);

        /** The server shuts down: the response must be ended or aborted at once. */
        void onShutdown();
    }
}
