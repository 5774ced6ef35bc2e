package org.oleandertrack.core.health;

import java.util.Optional;

/**
 * State of a request whose first send is late.
 *
 * @param repeatable whether the request may run more than once
 * @param continuesConversation whether it is a turn that continues a stored conversation
 * @param responseStarted whether the caller already has a part of the response
 * @param mayHaveRun whether an earlier send has ended in a way that does not exclude that it ran
 * @param sendCount number of sends so far
 * @param maxAttempts number of targets to which the route allows the request to be sent
 * @param suspect whether requests like this one may be the cause of known crashes of targets
 * @param callerRefused whether the caller's key may have been revoked since the call was admitted
 * @param stopping whether the process is stopping
 * @param remainingMillis time until the deadline, in milliseconds
 * @param serviceFull whether the targets of the service have too few free slots
 */
public record HedgeRequest(
        boolean repeatable,
        boolean continuesConversation,
        boolean responseStarted,
        boolean mayHaveRun,
        int sendCount,
        int maxAttempts,
        boolean suspect,
        boolean callerRefused,
        boolean stopping,
        long remainingMillis,
        boolean serviceFull) {

    // A response of the second target takes at least tens of milliseconds.
    private static final long MIN_REMAINING_MILLIS = 50;

    /**
     * Returns whether a request may be sent to a second target at any time.
     *
     * @param maxAttempts number of targets to which the route allows the request to be sent
     */
    public static boolean mayBeHedged(
            boolean repeatable, boolean continuesConversation, int maxAttempts) {
        return repeatable && !continuesConversation && maxAttempts > 1;
    }

    /** Returns why the request must not be sent to a second target now; empty if it may be. */
    public Optional<HedgeDenial> denial() {
        if (!repeatable) {
            return Optional.of(HedgeDenial.NOT_REPEATABLE);
        }
        if (continuesConversation) {
            return Optional.of(HedgeDenial.STORED_CONVERSATION);
        }
        if (responseStarted) {
            return Optional.of(HedgeDenial.RESPONSE_STARTED);
        }
        if (mayHaveRun) {
            return Optional.of(HedgeDenial.EARLIER_FAILURE);
        }
        if (sendCount >= maxAttempts) {
            return Optional.of(HedgeDenial.ATTEMPTS_USED_UP);
        }
        if (suspect) {
            return Optional.of(HedgeDenial.CRASH_SUSPECT);
        }
        if (callerRefused) {
            return Optional.of(HedgeDenial.CALLER_REFUSED);
        }
        if (stopping) {
            return Optional.of(HedgeDenial.STOPPING);
        }
        if (remainingMillis < MIN_REMAINING_MILLIS) {
            return Optional.of(HedgeDenial.DEADLINE_NEAR);
        }
        return serviceFull ? Optional.of(HedgeDenial.SERVICE_FULL) : Optional.empty();
    }
}
