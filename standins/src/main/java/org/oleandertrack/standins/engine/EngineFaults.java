package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.Gate;

/** The faults that the engine currently simulates. Thread-safe. */
final class EngineFaults {

    private final Gate mHangGate = new Gate();
    private double mSlowFactor = 1;
    private long mRequestsToFail;
    private int mCutAfterTokens;

    /** Replaces all faults; an absent field means that its fault is not simulated. */
    synchronized void replace(JsonNode json) {
        mSlowFactor = json.path("slowFactor").asDouble(1);
        mRequestsToFail = json.path("failNext").asLong(0);
        mCutAfterTokens = json.path("cutAfterTokens").asInt(0);
        mHangGate.setClosed(json.path("hang").asBoolean(false));
    }

    /**
     * Waits while the engine hangs, and returns whether it was hanging at the start of the call.
     */
    boolean awaitEndOfHang() throws IOException {
        return mHangGate.awaitOpen();
    }

    /** Returns the factor by which prefill and generation take longer than configured. */
    synchronized double slowFactor() {
        return mSlowFactor;
    }

    /** Returns whether the current request fails, and if so subtracts it from the failures left. */
    synchronized boolean consumeFailure() {
        boolean fail = mRequestsToFail > 0;
        mRequestsToFail -= fail ? 1 : 0;
        return fail;
    }

    /** Returns whether an answer is cut once this number of tokens has been generated. */
    synchronized boolean isCutAfter(int tokens) {
        return mCutAfterTokens > 0 && tokens >= mCutAfterTokens;
    }
}
