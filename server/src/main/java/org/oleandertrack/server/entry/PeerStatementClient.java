package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;

/** Runs operators' statements at other entry hosts. Thread safe. */
final class PeerStatementClient {

    /** Path of calls between entry hosts that carry a statement instead of a caller's request. */
    static final String PATH = "/ctl";

    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final Forwarder mForwarder;
    private final LongSupplier mNanoClock;

    PeerStatementClient(Forwarder forwarder, LongSupplier nanoClock) {
        mForwarder = forwarder;
        mNanoClock = nanoClock;
    }

    /** Runs a statement at a peer, which does not pass it on to others. Blocks. */
    StatementResult run(PeerConnection peer, String text, String operator) {
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
        BufferedResponse response =
                new BufferedResponse(MAX_RESPONSE_BYTES, new CompletableFuture<>());
        mForwarder.run(peer, head, ByteString.copyFromUtf8(text), TIMEOUT_MILLIS, response);
        return StatementResult.fromJson(response.body().toByteArray());
    }
}
