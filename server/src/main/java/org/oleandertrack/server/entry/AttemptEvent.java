package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;

/** What arrives from the process that runs an attempt. */
sealed interface AttemptEvent {

    /** Status and headers. */
    record Head(ResponseHead head) implements AttemptEvent {}

    /** A part of the body. */
    record Body(ByteString data) implements AttemptEvent {}

    /** The end of the attempt. */
    record End(ResponseEnd end) implements AttemptEvent {}

    /** The connection closed before the end. */
    record Lost(boolean mayHaveArrived) implements AttemptEvent {}

    /** The caller no longer wants the answer. */
    record CallerGone() implements AttemptEvent {}
}
