package org.oleandertrack.gateway.call;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.core.result.ResultException;

/** Tokens of a program's budget that are reserved for a call. Confined to the call's event loop. */
final class CallBudget {

    private final SpendingService mSpending;
    private final CallMetadata mMetadata;
    private final int mTokensPerEvent;
    private final EventLoop mLoop;
    private Optional<SpendingResult.Reserved> mReservation = Optional.empty();
    private boolean mClosed;

    CallBudget(
            SpendingService spending, CallMetadata metadata, int tokensPerEvent, EventLoop loop) {
        mSpending = spending;
        mMetadata = metadata;
        mTokensPerEvent = tokensPerEvent;
        mLoop = loop;
    }

    Optional<SpendingResult.Reserved> reservation() {
        return mReservation;
    }

    /**
     * Reserves what the call may generate at most, if its program has a budget.
     *
     * @param onLate called if the store has not answered in time
     * @param onResult receives the reason if nothing could be reserved; not called after {@link
     *     #settle}
     */
    void reserve(Runnable onLate, Consumer<Optional<ResultException>> onResult) {
        Optional<TurnMetadata> turn =
                mMetadata.turn().filter(metadata -> metadata.budgetTokens().isPresent());
        if (turn.isEmpty() || mMetadata.program().isEmpty()) {
            onResult.accept(Optional.empty());
            return;
        }
        long budgetTokens = turn.get().budgetTokens().getAsLong();
        new TokenReservation(
                        mSpending,
                        mLoop,
                        mMetadata.storedProgramId().get(),
                        budgetTokens,
                        turn.get().maxTokens(),
                        result -> onReservation(result, budgetTokens, onResult))
                .start(onLate);
    }

    /** Gives back what the call has not generated. */
    void settle(long eventCount) {
        mClosed = true;
        mReservation.ifPresent(reserved -> settle(reserved, eventCount * mTokensPerEvent));
    }

    private void onReservation(
            SpendingResult result,
            long budgetTokens,
            Consumer<Optional<ResultException>> onResult) {
        if (mClosed) {
            if (result instanceof SpendingResult.Reserved reserved) {
                settle(reserved, 0);
            }
            return;
        }
        switch (result) {
            case SpendingResult.Reserved reserved -> {
                mReservation = Optional.of(reserved);
                onResult.accept(Optional.empty());
            }
            case SpendingResult.Exhausted exhausted ->
                    onResult.accept(
                            Optional.of(CallFailures.budgetExhausted(exhausted, budgetTokens)));
            case SpendingResult.Unavailable unavailable ->
                    onResult.accept(
                            Optional.of(CallFailures.storeUnavailable(unavailable.reason())));
        }
    }

    private void settle(SpendingResult.Reserved reserved, long tokens) {
        mSpending.settle(mMetadata.storedProgramId().orElseThrow(), reserved, tokens);
    }
}
