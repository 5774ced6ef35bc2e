package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Guards against a daemon that is stopped twice or not at all, and against a process that ends
 * before the daemon's calls have.
 */
@Timeout(60)
final class DaemonRunnerTest {

    private final AtomicReference<Thread> mHook = new AtomicReference<>();
    private final DaemonRunner mRunner = new DaemonRunner(mHook::set);

    @Test
    void runReturnsOnlyAfterTheHookHasStoppedTheDaemon() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch callsEnded = new CountDownLatch(1);
        AtomicInteger stops = new AtomicInteger();
        Daemon daemon =
                daemon(
                        started::countDown,
                        () -> {
                            awaitLatch(callsEnded);
                            stops.incrementAndGet();
                        });
        CompletableFuture<ExitCode> run =
                CompletableFuture.supplyAsync(() -> mRunner.run("entry", daemon));
        started.await();
        mHook.get().start();
        assertEquals(false, run.isDone());
        callsEnded.countDown();
        assertEquals(ExitCode.SUCCESS, run.get());
        mHook.get().join();
        assertEquals(1, stops.get());
    }

    @Test
    void failedStartStopsOnceAlthoughTheHookRunsLater() throws Exception {
        AtomicInteger stops = new AtomicInteger();
        Daemon daemon =
                daemon(
                        () -> {
                            throw new IOException("no store");
                        },
                        stops::incrementAndGet);
        ResultException e = assertThrows(ResultException.class, () -> mRunner.run("entry", daemon));
        mHook.get().start();
        mHook.get().join();
        assertEquals(ResultCode.INTERNAL_ERROR, e.code());
        assertEquals(1, stops.get());
    }

    @Test
    void addressInUseHasItsOwnResultCode() {
        Daemon daemon =
                daemon(
                        () -> {
                            IOException named = new IOException("Failed to bind to /127.0.0.1:80");
                            named.initCause(new BindException("Address already in use"));
                            throw new IllegalStateException(named);
                        },
                        () -> {});
        ResultException e =
                assertThrows(ResultException.class, () -> mRunner.run("sidecar", daemon));
        assertEquals(ResultCode.ADDRESS_IN_USE, e.code());
        assertEquals("sidecar: Failed to bind to /127.0.0.1:80", e.getMessage());
    }

    @Test
    void failureInStopStillEndsTheRun() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        Daemon daemon =
                daemon(
                        started::countDown,
                        () -> {
                            throw new IllegalStateException("store closed");
                        });
        CompletableFuture<ExitCode> run =
                CompletableFuture.supplyAsync(() -> mRunner.run("entry", daemon));
        started.await();
        mHook.get().start();
        assertEquals(ExitCode.SUCCESS, run.get());
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private interface Start {
        void run() throws Exception;
    }

    private static Daemon daemon(Start start, Runnable stop) {
        return new Daemon() {
            @Override
            public void start() throws Exception {
                start.run();
            }

            @Override
            public void stop() {
                stop.run();
            }
        };
    }
}
