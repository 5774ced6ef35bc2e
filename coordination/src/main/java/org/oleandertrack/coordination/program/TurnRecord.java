package org.oleandertrack.coordination.program;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.oleandertrack.coordination.commit.RecordLocation;

/**
 * The history record of one turn, as JSON in a batch object.
 *
 * @param organisation organisation of the program
 * @param program id of the program
 * @param turn number of the turn
 * @param predecessorDigest digest of the history before this turn
 * @param predecessor location of the record of the previous turn; its batch is empty for turn 1
 * @param requestDigest digest of the request body
 * @param request content of the request that was stored
 * @param answer content of the answer that was stored, for replays
 */
public record TurnRecord(
        @JsonProperty("organisation") String organisation,
        @JsonProperty("program") String program,
        @JsonProperty("turn") long turn,
        @JsonProperty("predecessorDigest") String predecessorDigest,
        @JsonProperty("predecessor") RecordLocation predecessor,
        @JsonProperty("requestDigest") String requestDigest,
        @JsonProperty("request") String request,
        @JsonProperty("answer") String answer) {}
