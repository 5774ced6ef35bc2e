package org.oleandertrack.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.Gate;
import org.oleandertrack.standins.http.Pause;

/** The faults that the service currently simulates. Thread-safe. */
final class ServiceFaults {

    private final long mDefaultDelayMillis;
    private final Gate mHangGate = new Gate();
    private long mDelayMillis;
    private long mCallsToFail;
    private long mCallsToCloseAfterExecution;

    ServiceFaults(long defaultDelayMillis) {
        mDefaultDelayMillis = defaultDelayMillis;
        mDelayMillis = defaultDelayMillis;
    }

    /**
     * Replaces all faults. An absent field means that its fault is not simulated; an absent delay
     * means the delay given at construction.
     */
    synchronized void replace(JsonNode json) {
        mDelayMillis = json.path("delayMillis").asLong(mDefaultDelayMillis);
        mCallsToFail = json.path("failNext").asLong(0);
        mCallsToCloseAfterExecution = json.path("executeThenClose").asLong(0);
        mHangGate.setClosed(json.path("hang").asBoolean(false));
    }

    /** Blocks a call while the service hangs, and then for the simulated delay. */
    void applyDelay() throws IOException {
        mHangGate.awaitOpen();
        Pause.sleepMillis(delayMillis());
    }

    /** Returns the number of calls that currently hang. */
    int hangingCalls() {
        return mHangGate.waitingRequests();
    }

    /**
     * Returns whether the current call fails without being executed, and if so subtracts it from
     * the failures left.
     */
    synchronized boolean consumeFailure() {
        boolean fail = mCallsToFail > 0;
        mCallsToFail -= fail ? 1 : 0;
        return fail;
    }

    /**
     * Returns whether the connection is closed after the execution of the current call, and if so
     * subtracts it from the closes left.
     */
    synchronized boolean consumeCloseAfterExecution() {
        boolean close = mCallsToCloseAfterExecution > 0;
        mCallsToCloseAfterExecution -= close ? 1 : 0;
        return close;
    }

    private synchronized long delayMillis() {
        return mDelayMillis;
    }
}
