package org.oleandertrack.coordination.intent;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.oleandertrack.coordination.commit.RecordLocation;

/**
 * Value of the row {@code intent/{organisation}/{key}}.
 *
 * @param requestDigest digest of the request
 * @param attemptId the attempt that the row was written for
 * @param fence fencing number of the holder that wrote it
 * @param answer the answer in Base64, if it is finished and small
 * @param batch key of the batch object with a larger answer, otherwise empty
 * @param writeId id of the write
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

    /** What is known of the attempt. */
    enum State {
        /** It may be dispatched at any time. */
        STARTED,
        /** It ran and its answer is recorded. */
        FINISHED,
        /** It did not run and never will; the key is free. */
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

    IntentRow finished(String inlineAnswer, RecordLocation at, String id) {
        return new IntentRow(
                State.FINISHED,
                requestDigest,
                attemptId,
                fence,
                inlineAnswer,
                at.batch(),
                at.offset(),
                at.length(),
                id);
    }

    IntentRow notRun(String id) {
        return new IntentRow(State.NOT_RUN, requestDigest, attemptId, fence, "", "", 0, 0, id);
    }
}
