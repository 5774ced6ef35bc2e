package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Tests the limits of running calls and bytes, and the wait for the last call at a shutdown. */
final class CallLimiterTest {

    private static final long MAX_BYTES = 100;

    private final CallLimiter mLimiter = new CallLimiter(2, MAX_BYTES);

    /** Guards against more running calls than configured. */
    @Test
    void callsAreBounded() {
        CallLimiter.Permit first = mLimiter.acquire(0);
        mLimiter.acquire(0);
        assertRefused(ResultCode.CONNECTION_LIMIT_REACHED, 0);
        first.close();
        mLimiter.acquire(0);
        assertEquals(2, mLimiter.calls());
    }

    /** Guards against more request bytes than configured, and bytes that are never released. */
    @Test
    void bytesAreBounded() {
        CallLimiter.Permit first = mLimiter.acquire(MAX_BYTES);
        assertRefused(ResultCode.MEMORY_LIMIT_REACHED, 1);
        first.close();
        mLimiter.acquire(MAX_BYTES);
    }

    /** Guards against a refused call that is counted as running forever. */
    @Test
    void refusedCallIsNotCounted() {
        assertRefused(ResultCode.MEMORY_LIMIT_REACHED, MAX_BYTES + 1);
        assertEquals(0, mLimiter.calls());
    }

    /** Guards against a permit that is released twice, which would admit one call too many. */
    @Test
    void secondCloseHasNoEffect() {
        CallLimiter.Permit first = mLimiter.acquire(MAX_BYTES / 2);
        mLimiter.acquire(MAX_BYTES / 2);
        first.close();
        first.close();
        assertEquals(1, mLimiter.calls());
        assertRefused(ResultCode.MEMORY_LIMIT_REACHED, MAX_BYTES / 2 + 1);
    }

    /** Guards against calls admitted during a shutdown, and a shutdown that aborts a call. */
    @Test
    void awaitIdleWaitsForTheLastCall() throws Exception {
        CallLimiter.Permit running = mLimiter.acquire(0);
        mLimiter.close();
        assertRefused(ResultCode.SHUTTING_DOWN, 0);

        CompletableFuture<Void> idle = new CompletableFuture<>();
        Thread waiter = Thread.ofPlatform().start(() -> awaitIdle(idle));
        Awaitility.await().until(() -> waiter.getState() == Thread.State.WAITING);
        assertFalse(idle.isDone());
        running.close();
        idle.get(10, TimeUnit.SECONDS);
    }

    private void awaitIdle(CompletableFuture<Void> idle) {
        try {
            mLimiter.awaitIdle();
            idle.complete(null);
        } catch (InterruptedException e) {
            idle.completeExceptionally(e);
        }
    }

    private void assertRefused(ResultCode code, long bytes) {
        ResultException refusal =
                assertThrows(ResultException.class, () -> mLimiter.acquire(bytes));
        assertEquals(code, refusal.code());
        assertEquals(Execution.NOT_RUN, refusal.execution());
    }
}
