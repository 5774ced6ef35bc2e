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

/** Forwards calls to other entry hosts and relays their responses. Thread safe. */
final class Forwarder {

    /**
     * Added to the timeout of the call to bound the wait for each event from the holder. The holder
     * enforces the timeout itself, so the bound only ends the wait for a holder that hangs.
     */
    private static final long HOLDER_GRACE_MILLIS = 2_000;

    /**
     * Runs a call at the holder and ends the sink after a successful response. Blocks.
     *
     * @throws ResultException if the call fails, with the execution that the holder reported
     */
    void run(
            PeerConnection connection,
            Call head,
            ByteString body,
            long timeoutMillis,
            ResponseSink sink) {
        LinkedBlockingQueue<Attempt.QueuedEvent> events = new LinkedBlockingQueue<>();
        Attempt attempt = Attempt.start(connection, head, body, events);
        CompletableFuture<Void> cancelListener =
                sink.cancelled()
                        .thenRun(
                                () ->
                                        events.add(
                                                new Attempt.QueuedEvent(
                                                        attempt,
                                                        new AttemptEvent.CallCancelled())));
        try {
            relay(attempt, events, timeoutMillis + HOLDER_GRACE_MILLIS, sink);
        } catch (RuntimeException e) {
            attempt.cancel();
            throw e;
        } finally {
            cancelListener.cancel(false);
        }
        sink.end();
    }

    private static void relay(
            Attempt attempt,
            LinkedBlockingQueue<Attempt.QueuedEvent> events,
            long eventTimeoutMillis,
            ResponseSink sink) {
        boolean headReceived = false;
        while (true) {
            switch (awaitEvent(events, eventTimeoutMillis)) {
                case AttemptEvent.Head received -> {
                    headReceived = true;
                    sink.writeHead(received.head());
                }
                case AttemptEvent.Body received -> {
                    sink.writeBody(received.data());
                    attempt.returnCredit(received.data().size());
                }
                case AttemptEvent.End received -> {
                    if (AttemptResult.ofEnd(received.end())
                            instanceof AttemptResult.Failed failed) {
                        throw failed.toException();
                    }
                    return;
                }
                case AttemptEvent.ConnectionLost received ->
                        throw AttemptResult.ofConnectionLoss(
                                        received.mayHaveArrived(), headReceived)
                                .toException();
                case AttemptEvent.CallCancelled cancellation ->
                        throw new ResultException(ResultCode.CANCELLED, "the caller left");
            }
        }
    }

    private static AttemptEvent awaitEvent(
            LinkedBlockingQueue<Attempt.QueuedEvent> events, long eventTimeoutMillis) {
        try {
            Attempt.QueuedEvent queuedEvent =
                    events.poll(eventTimeoutMillis, TimeUnit.MILLISECONDS);
            if (queuedEvent != null) {
                return queuedEvent.event();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new ResultException(
                ResultCode.TARGET_TIMEOUT,
                Execution.UNKNOWN,
                "the holder did not respond in time",
                0);
    }
}
