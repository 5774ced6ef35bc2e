package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.Gate;

/** The faults that the engine simulates now. Thread-safe. */
final class EngineFaults {

    private final Gate mHang = new Gate();
    private double mSlowFactor = 1;
    private long mRequestsToFail;
    private int mCutAfterTokens;

    /** Replaces all faults; a field that is absent has its default, which is no fault. */
    synchronized void replace(JsonNode json) {
        mSlowFactor = json.path("slowFactor").asDouble(1);
        mRequestsToFail = json.path("failNext").asLong(0);
        mCutAfterTokens = json.path("cutAfterTokens").asInt(0);
        mHang.setClosed(json.path("hang").asBoolean(false));
    }

    /** Waits while the engine hangs and returns whether it did. */
    boolean awaitProgress() throws IOException {
        return mHang.pass();
    }

    /** Returns by how much the engine is slower than its settings say. */
    synchronized double slowFactor() {
        return mSlowFactor;
    }

    /** Returns whether this request is to fail. */
    synchronized boolean takeFailure() {
        boolean fail = mRequestsToFail > 0;
        mRequestsToFail -= fail ? 1 : 0;
        return fail;
    }

    /** Returns whether answers are cut after this number of tokens. */
    synchronized boolean cutsAfter(int tokens) {
        return mCutAfterTokens > 0 && tokens >= mCutAfterTokens;
    }
}
