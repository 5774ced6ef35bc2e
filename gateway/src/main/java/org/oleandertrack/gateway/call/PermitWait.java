package org.oleandertrack.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oleandertrack.http.ResponseWriter;

/**
 * Waits until the limit of an organisation permits a request, and ends the wait if the caller
 * closes its connection, the caller's time is over or the process stops. A permit that arrives
 * later is given back. Confined to the event loop of the caller's connection.
 */
final class PermitWait implements ResponseWriter.Listener {

    /** Result of a wait. */
    sealed interface Result {

        /** The request may be sent. */
        record Permitted(OrganisationLimiter.Admission.Admitted permit) implements Result {}

        /** The limit is reached. */
        record Refused(OrganisationLimiter.Admission.Refused refusal) implements Result {}

        /** The caller's time was over first. */
        record Expired() implements Result {}

        /** The process stopped first. */
        record Stopping() implements Result {}
    }

    private final OrganisationLimiter mLimiter;
    private final OrganisationLimiter.Request mRequest;
    private final ResponseWriter mWriter;
    private final Consumer<Result> mOnResult;
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();
    private boolean mEnded;

    /**
     * Creates a wait that is not started.
     *
     * @param onResult called once on the event loop, unless the caller closes its connection before
     */
    PermitWait(
            OrganisationLimiter limiter,
            OrganisationLimiter.Request request,
            ResponseWriter writer,
            Consumer<Result> onResult) {
        mLimiter = limiter;
        mRequest = request;
        mWriter = writer;
        mOnResult = onResult;
    }

    /** Starts the wait, which ends before this method returns if the limiter decides at once. */
    void start() {
        var admission = mLimiter.admit(mRequest);
        if (!admission.isDone()) {
            mWriter.setListener(this);
            mTimer =
                    Optional.of(
                            mWriter.eventLoop()
                                    .schedule(
                                            () -> end(new Result.Expired()),
                                            Math.max(0, mRequest.remainingMillis()),
                                            TimeUnit.MILLISECONDS));
        }
        var _ = admission.thenAccept(result -> runOnLoop(() -> onAdmission(result)));
    }

    @Override
    public void onClosed() {
        mEnded = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
    }

    @Override
    public void onShutdown() {
        end(new Result.Stopping());
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        // Nothing is written before the wait has ended.
    }

    private void onAdmission(OrganisationLimiter.Admission admission) {
        switch (admission) {
            case OrganisationLimiter.Admission.Admitted admitted -> {
                if (mEnded) {
                    mLimiter.giveBack(mRequest, admitted);
                    return;
                }
                end(new Result.Permitted(admitted));
            }
            case OrganisationLimiter.Admission.Refused refused -> end(new Result.Refused(refused));
        }
    }

    private void end(Result result) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
        mOnResult.accept(result);
    }

    // Runs at once on the event loop, so that a permit of this host itself costs no time.
    private void runOnLoop(Runnable task) {
        if (mWriter.eventLoop().inEventLoop()) {
            task.run();
            return;
        }
        mWriter.eventLoop().execute(task);
    }
}
