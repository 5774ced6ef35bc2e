package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Receives the response to a call: one head, parts of the body, then the end. If an attempt fails
 * before anything has been sent to the caller, the next attempt writes its head again. Methods may
 * block until the receiver can take more. Used by one thread at a time.
 */
interface ResponseSink {

    /** Writes status and headers. */
    void writeHead(ResponseHead head);

    /** Writes a part of the body. */
    void writeBody(ByteString data);

    /** Ends a response that is complete. */
    void end();

    /**
     * Tells whether nothing of the response has been sent to the caller, so that another attempt
     * can still replace it.
     */
    boolean isUnsent();

    /** Returns a future that completes when the caller no longer waits for the response. */
    CompletableFuture<Void> cancelled();
}
