package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;

/** Passes a call on to another entry host and its answer back. Thread safe. */
final class Forwarder {

    /** The holder bounds the call itself; this only ends the wait for a holder that hangs. */
    private static final long GRACE_MILLIS = 2_000;

    /**
     * Runs a call at the holder. Blocks.
     *
     * @throws ResultException if the call fails, with what the holder said of its execution
     */
    void run(
            PeerConnection connection,
            Call head,
            ByteString body,
            long timeoutMillis,
            ResponseSink sink) {
        LinkedBlockingQueue<Attempt.Tagged> events = new LinkedBlockingQueue<>();
        Attempt attempt = Attempt.start(connection, head, body, events);
        CompletableFuture<Void> callerGone =
                sink.cancelled()
                        .thenRun(
                                () ->
                                        events.add(
                                                new Attempt.Tagged(
                                                        attempt, new AttemptEvent.CallerGone())));
        try {
            relay(attempt, events, timeoutMillis + GRACE_MILLIS, sink);
        } catch (RuntimeException e) {
            attempt.cancel();
            throw e;
        } finally {
            callerGone.cancel(false);
        }
        sink.end();
    }

    private static void relay(
            Attempt attempt,
            LinkedBlockingQueue<Attempt.Tagged> events,
            long waitMillis,
            ResponseSink sink) {
        boolean headReceived = false;
        while (true) {
            switch (next(events, waitMillis)) {
                case AttemptEvent.Head received -> {
                    headReceived = true;
                    sink.head(received.head());
                }
                case AttemptEvent.Body received -> {
                    sink.body(received.data());
                    attempt.consumed(received.data().size());
                }
                case AttemptEvent.End received -> {
                    if (AttemptResult.ofEnd(received.end())
                            instanceof AttemptResult.Failed failed) {
                        throw failed.toException();
                    }
                    return;
                }
                case AttemptEvent.Lost received ->
                        throw AttemptResult.ofLoss(received.mayHaveArrived(), headReceived)
                                .toException();
                case AttemptEvent.CallerGone gone ->
                        throw new ResultException(ResultCode.CANCELLED, "the caller left");
            }
        }
    }

    private static AttemptEvent next(LinkedBlockingQueue<Attempt.Tagged> events, long waitMillis) {
        try {
            Attempt.Tagged tagged = events.poll(waitMillis, TimeUnit.MILLISECONDS);
            if (tagged != null) {
                return tagged.event();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new ResultException(
                ResultCode.TARGET_TIMEOUT, Execution.UNKNOWN, "the holder did not answer", 0);
    }
}
