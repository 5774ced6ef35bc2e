package org.oleandertrack.core.program;

import org.oleandertrack.core.result.ResultCode;

/** Decides whether a turn may run, from the committed head of its program. */
public final class TurnOrder {

    private TurnOrder() {}

    /**
     * Decides on a turn.
     *
     * @param headTurn last committed turn; 0 if there is none
     * @param headRequestDigest digest of the request body of that turn
     * @param ended whether the program has ended
     * @param turn number of the turn sent
     * @param requestDigest digest of its request body
     */
    public static TurnDecision decide(
            long headTurn,
            String headRequestDigest,
            boolean ended,
            long turn,
            String requestDigest) {
        if (turn > 0 && turn == headTurn) {
            return requestDigest.equals(headRequestDigest)
                    ? new TurnDecision.Replay()
                    : new TurnDecision.Refuse(ResultCode.TURN_CONTENT_MISMATCH);
        }
        if (turn != headTurn + 1) {
            return new TurnDecision.Refuse(ResultCode.TURN_OUT_OF_ORDER);
        }
        return ended ? new TurnDecision.Refuse(ResultCode.PROGRAM_ENDED) : new TurnDecision.Run();
    }
}
