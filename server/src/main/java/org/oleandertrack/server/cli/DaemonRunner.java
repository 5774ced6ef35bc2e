package org.oleandertrack.server.cli;

import java.net.BindException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.tinylog.Logger;

/**
 * Starts a daemon and waits until the JVM's shutdown hook has stopped it. The JVM runs the hook on
 * SIGTERM and SIGINT. Stateless.
 */
final class DaemonRunner {

    private final Consumer<Thread> mHookRegistrar;

    /**
     * Creates a runner.
     *
     * @param hookRegistrar registers a thread that the JVM starts on shutdown
     */
    DaemonRunner(Consumer<Thread> hookRegistrar) {
        mHookRegistrar = hookRegistrar;
    }

    /**
     * Runs the daemon until it is stopped.
     *
     * @param name role of the daemon, for log and error messages
     * @throws ResultException if the daemon fails to start
     */
    ExitCode run(String name, Daemon daemon) {
        Stopper stopper = new Stopper(name, daemon);
        mHookRegistrar.accept(new Thread(stopper::stop, "shutdown"));
        try {
            daemon.start();
        } catch (Exception e) {
            stopper.stop();
            throw startFailure(name, e);
        }
        Logger.info("{} started", name);
        stopper.awaitStopped();
        return ExitCode.SUCCESS;
    }

    private static ResultException startFailure(String name, Exception e) {
        Optional<ResultException> result = findCause(e, ResultException.class);
        if (result.isPresent()) {
            return result.get();
        }
        Optional<BindException> bind = findCause(e, BindException.class);
        if (bind.isPresent()) {
            return new ResultException(
                    ResultCode.ADDRESS_IN_USE, name + ": " + bindFailureMessage(e, bind.get()));
        }
        Logger.error(e, "{} did not start", name);
        return new ResultException(ResultCode.INTERNAL_ERROR, name + " did not start: " + e);
    }

    // The JDK's BindException lacks the address; Jetty wraps it in an exception that contains it.
    private static String bindFailureMessage(Exception outer, BindException bind) {
        for (Throwable t = outer; t != null; t = t.getCause()) {
            if (t.getCause() instanceof BindException && t.getMessage() != null) {
                return t.getMessage();
            }
        }
        return bind.getMessage();
    }

    private static <X extends Throwable> Optional<X> findCause(Throwable e, Class<X> type) {
        for (Throwable t = e; t != null; t = t.getCause()) {
            if (type.isInstance(t)) {
                return Optional.of(type.cast(t));
            }
        }
        return Optional.empty();
    }

    /** Stops a daemon exactly once, even if the hook and a failed start request it concurrently. */
    private static final class Stopper {
        private final String mName;
        private final Daemon mDaemon;
        private final AtomicBoolean mStopping = new AtomicBoolean();
        private final CountDownLatch mStopped = new CountDownLatch(1);

        Stopper(String name, Daemon daemon) {
            mName = name;
            mDaemon = daemon;
        }

        void stop() {
            if (!mStopping.compareAndSet(false, true)) {
                awaitStopped();
                return;
            }
            Logger.info("{} stopping", mName);
            try {
                mDaemon.stop();
                Logger.info("{} stopped", mName);
            } catch (RuntimeException e) {
                Logger.error(e, "{} did not stop cleanly", mName);
            } finally {
                mStopped.countDown();
            }
        }

        void awaitStopped() {
            boolean interrupted = false;
            while (true) {
                try {
                    mStopped.await();
                    break;
                } catch (InterruptedException e) {
                    interrupted = true;
                }
            }
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
