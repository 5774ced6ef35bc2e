package org.oleandertrack.server.sidecar;

import org.oleandertrack.core.queue.QueuedCall;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;

/**
 * A call in the sidecar. Immutable.
 *
 * @param call the call from the entry host
 * @param queued how the queue sees it
 * @param arrivalNanos when it arrived, on the monotonic clock
 */
record WaitingCall(InboundCall call, QueuedCall queued, long arrivalNanos) {

    static WaitingCall of(InboundCall call, long sequence, long nowNanos) {
        Call head = call.head();
        QueuedCall queued =
                new QueuedCall(
                        Long.toString(sequence),
                        head.getOrganisation(),
                        head.getProgram().isEmpty() ? head.getAttemptId() : head.getProgram(),
                        clampPriority(head.getClassPriority()),
                        Math.max(0, head.getAttainedNanos()),
                        false,
                        head.getStartDeadlineReceiverNanos());
        return new WaitingCall(call, queued, nowNanos);
    }

    String id() {
        return queued.id();
    }

    Call head() {
        return call.head();
    }

    private static int clampPriority(int priority) {
        return Math.clamp(priority, QueuedCall.MIN_PRIORITY, QueuedCall.MAX_PRIORITY);
    }
}
