package org.oleandertrack.core.attempt;

/**
 * Decides what follows when an attempt ends without the whole response. A response that has started
 * is completed by its own sender, or by another target's events if it is a stream of events;
 * nothing else is ever written behind it.
 */
public final class ContinuationPolicy {

    private ContinuationPolicy() {}

    /** Returns what follows. */
    public static NextStep next(CallProgress progress, AttemptEnd end) {
        NextStep step =
                switch (end) {
                    case AttemptEnd.Refused refused -> afterNoRun(progress, refused.targetEnded());
                    case AttemptEnd.NotReached notReached ->
                            afterNoRun(progress, notReached.targetEnded());
                    case AttemptEnd.BrokenOff brokenOff -> afterBreak(progress);
                    case AttemptEnd.Stalled stalled -> afterStall(progress, stalled.hung());
                    case AttemptEnd.Answered answered -> afterAnswer(progress);
                };
        boolean sends =
                step instanceof NextStep.SendToOtherTarget
                        || step instanceof NextStep.SendToSameTarget;
        return sends && !progress.sendAllowed() ? new NextStep.GiveUp() : step;
    }

    // A target that has ended no longer counts among those that may run the request.
    private static NextStep afterNoRun(CallProgress progress, boolean targetEnded) {
        boolean mayMove = progress.otherTargetAllowed() || targetEnded;
        return mayMove && progress.forwarded() != ForwardedPart.PART_OF_BODY
                ? new NextStep.SendToOtherTarget()
                : new NextStep.GiveUp();
    }

    private static NextStep afterBreak(CallProgress progress) {
        return mayBeSentAgain(progress) ? sendAgain(progress) : new NextStep.GiveUp();
    }

    private static NextStep afterStall(CallProgress progress, boolean hung) {
        if (mayBeSentAgain(progress) && (!hung || progress.otherTargetAllowed())) {
            return sendAgain(progress);
        }
        return progress.forwarded() == ForwardedPart.NOTHING
                ? new NextStep.GiveUp()
                : new NextStep.KeepWaiting();
    }

    private static NextStep afterAnswer(CallProgress progress) {
        if (progress.forwarded() == ForwardedPart.NOTHING) {
            return new NextStep.ForwardResponse();
        }
        return mayBeSentAgain(progress) && progress.otherTargetAllowed()
                ? new NextStep.SendToOtherTarget()
                : new NextStep.GiveUp();
    }

    private static boolean mayBeSentAgain(CallProgress progress) {
        return progress.repeatable() && progress.forwarded() != ForwardedPart.PART_OF_BODY;
    }

    private static NextStep sendAgain(CallProgress progress) {
        return progress.otherTargetAllowed()
                ? new NextStep.SendToOtherTarget()
                : new NextStep.SendToSameTarget();
    }
}
