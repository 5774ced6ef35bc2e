package org.oleandertrack.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.Gate;
import org.oleandertrack.standins.http.Pause;

/** The faults that the plain service simulates now. Thread-safe. */
final class ServiceFaults {

    private final long mDefaultDelayMillis;
    private final Gate mHang = new Gate();
    private long mDelayMillis;
    private long mCallsToFail;
    private long mCallsToCloseAfterExecution;

    ServiceFaults(long defaultDelayMillis) {
        mDefaultDelayMillis = defaultDelayMillis;
        mDelayMillis = defaultDelayMillis;
    }

    /** Replaces all faults; an absent delay is the one of the command line. */
    synchronized void replace(JsonNode json) {
        mDelayMillis = json.path("delayMillis").asLong(mDefaultDelayMillis);
        mCallsToFail = json.path("failNext").asLong(0);
        mCallsToCloseAfterExecution = json.path("executeThenClose").asLong(0);
        mHang.setClosed(json.path("hang").asBoolean(false));
    }

    /** Holds a call while the service hangs, then for the delay. */
    void delay() throws IOException {
        mHang.pass();
        Pause.millis(delayMillis());
    }

    /** Returns how many calls hang now. */
    int held() {
        return mHang.held();
    }

    /** Returns whether this call is to fail without being executed. */
    synchronized boolean takeFailure() {
        boolean fail = mCallsToFail > 0;
        mCallsToFail -= fail ? 1 : 0;
        return fail;
    }

    /** Returns whether the connection is to be closed after the execution of this call. */
    synchronized boolean takeCloseAfterExecution() {
        boolean close = mCallsToCloseAfterExecution > 0;
        mCallsToCloseAfterExecution -= close ? 1 : 0;
        return close;
    }

    private synchronized long delayMillis() {
        return mDelayMillis;
    }
}
