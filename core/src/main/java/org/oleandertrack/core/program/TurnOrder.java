package org.oleandertrack.core.program;

import org.oleandertrack.core.result.ResultCode;

/**
 * Decides whether a turn may run, given the head of its program, that is, the last committed turn.
 */
public final class TurnOrder {

    private TurnOrder() {}

    /**
     * Decides on a turn.
     *
     * @param headTurn number of the last committed turn; 0 if there is none
     * @param headRequestDigest digest of the request body of the last committed turn
     * @param ended whether the program has ended
     * @param turn number of the turn to decide on
     * @param requestDigest digest of the request body of the turn to decide on
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
