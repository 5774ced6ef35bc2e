package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.coordination.spending.SpendingService;

/**
 * Reserves a turn's tokens from its program's budget. If the store does not answer in time, tokens
 * of the outage allowance are requested as well; the first result counts, and tokens of a second
 * one are given back. Confined to an event loop.
 */
final class TokenReservation {

    // After this, tokens of the outage allowance are taken. Even a slow store responds in 500 ms.
    private static final long PATIENCE_MILLIS = 700;

    private final SpendingService mSpending;
    private final EventLoop mLoop;
    private final String mProgram;
    private final long mBudgetTokens;
    private final long mMaxTokens;
    private final Consumer<SpendingResult> mOnResult;
    private boolean mCompleted;

    /**
     * Creates a reservation that is not started.
     *
     * @param maxTokens largest number of tokens that the turn may generate
     * @param onResult called once, on the event loop
     */
    TokenReservation(
            SpendingService spending,
            EventLoop loop,
            String program,
            long budgetTokens,
            long maxTokens,
            Consumer<SpendingResult> onResult) {
        mSpending = spending;
        mLoop = loop;
        mProgram = program;
        mBudgetTokens = budgetTokens;
        mMaxTokens = maxTokens;
        mOnResult = onResult;
    }

    /**
     * Starts the reservation.
     *
     * @param onLate called on the event loop if the store has not answered in time
     */
    void start(Runnable onLate) {
        var _ = mLoop.schedule(() -> takeAllowance(onLate), PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        var _ =
                mSpending
                        .reserve(mProgram, mBudgetTokens, mMaxTokens)
                        .thenAccept(result -> mLoop.execute(() -> complete(result)));
    }

    private void takeAllowance(Runnable onLate) {
        if (mCompleted) {
            return;
        }
        onLate.run();
        var _ =
                mSpending
                        .reserveFromAllowance(mProgram, mMaxTokens)
                        .thenAccept(result -> mLoop.execute(() -> complete(result)));
    }

    private void complete(SpendingResult result) {
        if (!mCompleted) {
            mCompleted = true;
            mOnResult.accept(result);
            return;
        }
        if (result instanceof SpendingResult.Reserved second) {
            mSpending.settle(mProgram, second, 0);
        }
    }
}
