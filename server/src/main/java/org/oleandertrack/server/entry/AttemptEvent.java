package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** An event of an attempt: a part of the response, its end, or a cancellation by the caller. */
sealed interface AttemptEvent {

    /** Status and headers of the response. */
    record Head(ResponseHead head) implements AttemptEvent {}

    /** A part of the response body. */
    record Body(ByteString data) implements AttemptEvent {}

    /** The end of the response, successful or not. */
    record End(ResponseEnd end) implements AttemptEvent {}

    /**
     * The connection closed before the end of the response.
     *
     * @param mayHaveArrived false only if the peer cannot have received the whole call
     */
    record ConnectionLost(boolean mayHaveArrived) implements AttemptEvent {}

    /** The caller no longer waits for the response. */
    record CallCancelled() implements AttemptEvent {}
}
