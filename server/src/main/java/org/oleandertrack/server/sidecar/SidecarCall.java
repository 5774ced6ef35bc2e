package org.oleandertrack.server.sidecar;

import org.oleandertrack.core.queue.QueuedCall;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Call;

/**
 * A call that waits in the sidecar or runs at the target. Immutable.
 *
 * @param inbound the call as received from the entry host
 * @param queuedCall the call's entry in the queue
 * @param arrivalNanos arrival time, in nanoseconds of the monotonic clock
 */
record SidecarCall(InboundCall inbound, QueuedCall queuedCall, long arrivalNanos) {

    /**
     * Wraps a received call.
     *
     * @param number number that is unique in this process; becomes the id of the queue entry
     * @param nowNanos arrival time, in nanoseconds of the monotonic clock
     */
    static SidecarCall of(InboundCall inbound, long number, long nowNanos) {
        Call head = inbound.head();
        QueuedCall queuedCall =
                new QueuedCall(
                        Long.toString(number),
                        head.getOrganisation(),
                        head.getProgram().isEmpty() ? head.getAttemptId() : head.getProgram(),
                        clampPriority(head.getClassPriority()),
                        Math.max(0, head.getAttainedNanos()),
                        false,
                        head.getStartDeadlineReceiverNanos());
        return new SidecarCall(inbound, queuedCall, nowNanos);
    }

    String id() {
        return queuedCall.id();
    }

    Call head() {
        return inbound.head();
    }

    private static int clampPriority(int priority) {
        return Math.clamp(priority, QueuedCall.MIN_PRIORITY, QueuedCall.MAX_PRIORITY);
    }
}
