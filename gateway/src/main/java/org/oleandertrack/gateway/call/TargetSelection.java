package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleandertrack.core.rate.PermitRequest;
import org.oleandertrack.core.rate.PermitResult;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.PermitIssuer;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetFilter;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.gateway.targets.TargetRegistry;

/**
 * Selects the target of one send of a call. A target that limits its rate is selected only with a
 * permit; without one the next best target is tried. Confined to the call's event loop.
 */
final class TargetSelection {

    /** Result of a selection. */
    sealed interface Result {

        /**
         * The request may be sent now. It is already counted in the target's load.
         *
         * @param permitWaitMillis time that the request had to wait because the target limits its
         *     rate, in milliseconds; empty if it does not
         */
        record Selected(PlacedTarget target, OptionalLong permitWaitMillis) implements Result {}

        /** No target is left. */
        record NoTarget() implements Result {}

        /**
         * The rate of each target that is left makes the request wait for too long, and the targets
         * that state none have taken over enough.
         *
         * @param waitMillis shortest known wait, in milliseconds; 0 if none is known
         */
        record RateLimited(long waitMillis) implements Result {}

        /**
         * The request must not be sent: the process stops before the call would end, or the
         * caller's key may have been revoked since the call was admitted.
         */
        record Refused(ResultException refusal) implements Result {}
    }

    // Each denied permit costs a round trip to another host.
    private static final int MAX_DENIALS = 5;
    // Added to the wait with which a target was chosen, since other hosts take permits too.
    private static final long WAIT_MARGIN_MILLIS = 30;

    private final TargetRegistry mTargets;
    private final PermitIssuer mPermits;
    private final EventLoop mLoop;
    private final String mService;
    private final Optional<TurnRequest> mTurn;
    private final boolean mRepeatable;
    private final BooleanSupplier mAbandoned;
    private final BooleanSupplier mMaySend;
    private final Supplier<Optional<ResultException>> mCallerRefusal;
    private final CallLog mLog;

    /**
     * Creates the selection for a call.
     *
     * @param abandoned returns whether the call has ended and needs no target any more
     * @param maySend returns whether a call that has not run yet may be sent
     * @param callerRefusal returns the reason if the caller's call must not be sent any more
     */
    TargetSelection(
            CallContext context,
            EventLoop loop,
            String service,
            Optional<TurnRequest> turn,
            boolean repeatable,
            BooleanSupplier abandoned,
            BooleanSupplier maySend,
            Supplier<Optional<ResultException>> callerRefusal,
            CallLog log) {
        mTargets = context.targets();
        mPermits = context.permits();
        mLoop = loop;
        mService = service;
        mTurn = turn;
        mRepeatable = repeatable;
        mAbandoned = abandoned;
        mMaySend = maySend;
        mCallerRefusal = callerRefusal;
        mLog = log;
    }

    /**
     * Selects the given target, or else one that placement chooses.
     *
     * @param filter targets among which placement chooses
     * @param maxWaitMillis longest acceptable wait for a permit, in milliseconds
     * @param mayRefuse whether the call has not run yet and may be refused
     * @param onResult called on the event loop, unless the call is abandoned before; called before
     *     this method returns if no permit is needed
     */
    void select(
            Optional<TargetHandle> target,
            TargetFilter filter,
            long maxWaitMillis,
            boolean mayRefuse,
            Consumer<Result> onResult) {
        new Search(target, filter, maxWaitMillis, mayRefuse, onResult).tryNext();
    }

    /** The search for the target of one send. */
    private final class Search {
        private final Optional<TargetHandle> mRequired;
        private final TargetFilter mFilter;
        private final long mMaxWaitMillis;
        private final boolean mMayRefuse;
        private final Consumer<Result> mOnResult;
        private final Set<String> mDeniedIds = new HashSet<>();
        private int mDenials;
        private long mShortestWaitMillis = Long.MAX_VALUE;

        private Search(
                Optional<TargetHandle> required,
                TargetFilter filter,
                long maxWaitMillis,
                boolean mayRefuse,
                Consumer<Result> onResult) {
            mRequired = required;
            mFilter = filter;
            mMaxWaitMillis = maxWaitMillis;
            mMayRefuse = mayRefuse;
            mOnResult = onResult;
        }

        private void tryNext() {
            Optional<PlacedTarget> placed = mRequired.map(this::placeAt).or(this::place);
            if (placed.isEmpty()) {
                mOnResult.accept(
                        mDenials == 0
                                ? new Result.NoTarget()
                                : new Result.RateLimited(mShortestWaitMillis));
                return;
            }
            long nowNanos = System.nanoTime();
            TargetHandle handle = placed.get().handle();
            long expectedWaitMillis = mTargets.permitWaitMillis(handle, nowNanos);
            Optional<PermitRequest> request =
                    mTargets.makePermitRequest(
                            handle,
                            Math.min(mMaxWaitMillis, expectedWaitMillis + WAIT_MARGIN_MILLIS),
                            nowNanos);
            if (request.isEmpty()) {
                if (mMayRefuse && mTargets.isOverrun(handle, nowNanos)) {
                    mTargets.withdraw(handle);
                    mOnResult.accept(
                            new Result.RateLimited(mDenials == 0 ? 0 : mShortestWaitMillis));
                    return;
                }
                complete(placed.get(), OptionalLong.empty());
                return;
            }
            if (expectedWaitMillis > mMaxWaitMillis) {
                onDenied(placed.get(), expectedWaitMillis);
                return;
            }
            var _ =
                    mPermits.take(request.get())
                            .thenAccept(
                                    result ->
                                            runOnLoop(() -> onPermitResult(placed.get(), result)));
        }

        private void onPermitResult(PlacedTarget placed, PermitResult result) {
            long nowNanos = System.nanoTime();
            switch (result) {
                case PermitResult.Granted granted -> {
                    mTargets.recordPermit(placed.handle(), granted.waitMillis(), nowNanos);
                    if (granted.waitMillis() == 0) {
                        completeAfterWait(placed, 0);
                        return;
                    }
                    var _ =
                            mLoop.schedule(
                                    () -> completeAfterWait(placed, granted.waitMillis()),
                                    granted.waitMillis(),
                                    TimeUnit.MILLISECONDS);
                }
                case PermitResult.Denied denied -> {
                    mTargets.recordDeniedPermit(placed.handle(), denied.waitMillis(), nowNanos);
                    mLog.permitDenied(placed.handle(), denied.waitMillis());
                    onDenied(placed, denied.waitMillis());
                }
            }
        }

        private void onDenied(PlacedTarget placed, long waitMillis) {
            mTargets.withdraw(placed.handle());
            if (mAbandoned.getAsBoolean()) {
                return;
            }
            mDenials++;
            mShortestWaitMillis = Math.min(mShortestWaitMillis, waitMillis);
            if (mRequired.isPresent() && waitMillis > mMaxWaitMillis) {
                mOnResult.accept(new Result.RateLimited(waitMillis));
                return;
            }
            if (waitMillis > mMaxWaitMillis || mDenials > MAX_DENIALS) {
                mDeniedIds.add(placed.handle().id());
            }
            tryNext();
        }

        private void completeAfterWait(PlacedTarget placed, long waitMillis) {
            if (placed.handle().isRemoved()) {
                mTargets.withdraw(placed.handle());
                if (mAbandoned.getAsBoolean()) {
                    return;
                }
                if (mRequired.isPresent()) {
                    mOnResult.accept(new Result.NoTarget());
                    return;
                }
                tryNext();
                return;
            }
            complete(placed, OptionalLong.of(waitMillis));
        }

        private void complete(PlacedTarget placed, OptionalLong permitWaitMillis) {
            if (mAbandoned.getAsBoolean()) {
                mTargets.withdraw(placed.handle());
                return;
            }
            if (mMayRefuse && !mMaySend.getAsBoolean()) {
                mTargets.withdraw(placed.handle());
                mOnResult.accept(new Result.Refused(CallFailures.shuttingDown()));
                return;
            }
            Optional<ResultException> refusal = mCallerRefusal.get();
            if (refusal.isPresent()) {
                mTargets.withdraw(placed.handle());
                mOnResult.accept(new Result.Refused(refusal.get()));
                return;
            }
            mTurn.filter(turn -> mRequired.isEmpty())
                    .ifPresent(turn -> mTargets.recordPrefill(placed.handle(), turn));
            mOnResult.accept(new Result.Selected(placed, permitWaitMillis));
        }

        private PlacedTarget placeAt(TargetHandle handle) {
            mTargets.recordResend(handle);
            return new PlacedTarget(
                    handle, new PlacementChoice(handle.id(), 0, 0, 0, 0, 1, 0, true, 0));
        }

        private Optional<PlacedTarget> place() {
            TargetFilter filter = mFilter.withExcluded(mDeniedIds);
            long nowNanos = System.nanoTime();
            return mTurn.isPresent()
                    ? mTargets.placeTurn(mService, mTurn.get(), filter, nowNanos)
                    : mTargets.placeCall(mService, filter, mRepeatable, nowNanos);
        }

        // Runs at once on the event loop, so that a permit of this host itself costs no time.
        private void runOnLoop(Runnable task) {
            if (mLoop.inEventLoop()) {
                task.run();
                return;
            }
            mLoop.execute(task);
        }
    }
}
