package org.oleandertrack.coordination.intent;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.oleandertrack.coordination.commit.RecordLocation;

/**
 * Value of the row {@code intent/{organisation}/{key}}.
 *
 * @param state what is known about the attempt
 * @param requestDigest digest of the request
 * @param attemptId id of the attempt for which the row was written
 * @param fence fencing number of the holder that began the attempt
 * @param answer answer of a finished attempt in Base64; empty if it is stored in a batch object
 * @param batch key of the batch object that contains a large answer; otherwise empty
 * @param offset index of the answer's first byte in the batch object
 * @param length length of the answer in the batch object in bytes
 * @param writeId unique id of the write
 */
record IntentRow(
        @JsonProperty("s") State state,
        @JsonProperty("r") String requestDigest,
        @JsonProperty("a") String attemptId,
        @JsonProperty("f") long fence,
        @JsonProperty("v") String answer,
        @JsonProperty("k") String batch,
        @JsonProperty("o") int offset,
        @JsonProperty("l") int length,
        @JsonProperty("w") String writeId) {

    /** What is known about the attempt. */
    enum State {
        /** The attempt may have been dispatched, or may still be dispatched at any time. */
        STARTED,
        /** The attempt ran and its answer is recorded. */
        FINISHED,
        /** The attempt did not run and never will, so the key can be used again. */
        NOT_RUN
    }

    static final String PREFIX = "intent/";

    static String key(String organisation, String key) {
        return PREFIX
                + URLEncoder.encode(organisation, StandardCharsets.UTF_8)
                + "/"
                + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    static IntentRow started(String requestDigest, String attemptId, long fence, String writeId) {
        return new IntentRow(State.STARTED, requestDigest, attemptId, fence, "", "", 0, 0, writeId);
    }

    IntentRow finished(String inlineAnswer, RecordLocation location, String newWriteId) {
        return new IntentRow(
                State.FINISHED,
                requestDigest,
                attemptId,
                fence,
                inlineAnswer,
                location.batch(),
                location.offset(),
                location.length(),
                newWriteId);
    }

    IntentRow notRun(String newWriteId) {
        return new IntentRow(
                State.NOT_RUN, requestDigest, attemptId, fence, "", "", 0, 0, newWriteId);
    }
}
