package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;

/** Passes operators' statements on to other entry hosts. Thread safe. */
final class PeerStatements {

    /** Path of calls between entry hosts that carry a query instead of a caller's request. */
    static final String PATH = "/ctl";

    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final Forwarder mForwarder;
    private final LongSupplier mNanoClock;

    PeerStatements(Forwarder forwarder, LongSupplier nanoClock) {
        mForwarder = forwarder;
        mNanoClock = nanoClock;
    }

    /** Runs a statement at a peer, in that process only. Blocks. */
    StatementAnswer run(PeerConnection peer, String text, String operator) {
        long deadlineNanos = Deadlines.after(mNanoClock.getAsLong(), TIMEOUT_MILLIS);
        Call head =
                Call.newBuilder()
                        .setForwarded(true)
                        .setPath(PATH)
                        .setOrganisation(operator)
                        .setTimeoutMillis(TIMEOUT_MILLIS)
                        .setReceiverIncarnation(peer.peer().getIncarnation())
                        .setStartDeadlineReceiverNanos(peer.toPeerNanos(deadlineNanos))
                        .build();
        BufferedAnswer answer = new BufferedAnswer(MAX_ANSWER_BYTES, new CompletableFuture<>());
        mForwarder.run(peer, head, ByteString.copyFromUtf8(text), TIMEOUT_MILLIS, answer);
        return StatementAnswer.fromJson(answer.body().toByteArray());
    }
}
