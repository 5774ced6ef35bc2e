package org.oleandertrack.core.attempt;

/**
 * What a call has come to when one of its attempts ends.
 *
 * @param forwarded what the caller already has
 * @param repeatable whether the request may run more than once
 * @param otherTargetAllowed whether one more target may run the request, beside those that may have
 *     run it
 * @param sendAllowed whether the request may be sent once more at all: neither its number of sends
 *     nor its time is used up
 */
public record CallProgress(
        ForwardedPart forwarded,
        boolean repeatable,
        boolean otherTargetAllowed,
        boolean sendAllowed) {}
