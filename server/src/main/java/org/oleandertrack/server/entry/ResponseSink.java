package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Takes the answer to a call: one head, parts of the body, then the end. Methods may block until
 * the receiver has room. Used by one thread at a time.
 */
interface ResponseSink {

    /** Takes status and headers. */
    void head(ResponseHead head);

    /** Takes a part of the body. */
    void body(ByteString data);

    /** Takes the successful end. */
    void end();

    /** Returns whether the answer can still start anew, because nothing of it has left. */
    boolean isUncommitted();

    /** Completes when the caller no longer wants the answer. */
    CompletableFuture<Void> cancelled();
}
