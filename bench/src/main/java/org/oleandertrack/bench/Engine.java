package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.MILLISECOND;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A fake of a model engine: it runs each call at a constant speed, keeps the prefixes of programs
 * in limited memory, can be slowed down and can fail. A change of speed takes effect with the next
 * piece of each answer.
 */
final class Engine {

    /** Time between the tokens of an answer. */
    static final long TOKEN_NANOS = 73 * MILLISECOND;

    /** Time to compute a token of a prompt. */
    static final long PREFILL_NANOS = MILLISECOND / 10;

    /** Time after which a failing engine answers with an error. */
    static final long FAILURE_NANOS = 50 * MILLISECOND;

    private static final int TOKENS_PER_PIECE = 4;

    private final VirtualClock mClock;
    private final long mMemoryTokens;
    private final LinkedHashMap<String, Integer> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Consumer<Attempt> mFreed;
    private long mUsedTokens;
    private int mSlowdown = 1;
    private boolean mFailing;
    private long mComputedPromptTokens;

    /**
     * Creates an engine.
     *
     * @param memoryTokens tokens of prefixes that it can hold
     * @param freed called when an attempt has ended, before its listener
     */
    Engine(VirtualClock clock, long memoryTokens, Consumer<Attempt> freed) {
        mClock = clock;
        mMemoryTokens = memoryTokens;
        mFreed = freed;
    }

    static long workNanos(int promptTokens, int generatedTokens) {
        return promptTokens * PREFILL_NANOS + generatedTokens * TOKEN_NANOS;
    }

    void setSlowdown(int factor) {
        mSlowdown = factor;
    }

    void setFailing(boolean failing) {
        mFailing = failing;
    }

    long computedPromptTokens() {
        return mComputedPromptTokens;
    }

    /** Starts an attempt, or continues one that was stopped. */
    void start(Attempt attempt) {
        attempt.mRun++;
        attempt.mStartedNanos = mClock.now();
        attempt.mPieceNanos = 0;
        int run = attempt.mRun;
        if (mFailing) {
            mClock.after(FAILURE_NANOS, () -> end(attempt, run, Attempt.Outcome.FAILED));
            return;
        }
        int held = mPrefixes.getOrDefault(attempt.mCall.program().id(), 0);
        int wanted = attempt.mCall.promptTokens() + attempt.tokensDone();
        int missing = Math.max(0, wanted - held);
        mComputedPromptTokens += missing;
        attempt.mPrefillNanos = missing * PREFILL_NANOS;
        mClock.after(attempt.mPrefillNanos * mSlowdown, () -> nextPiece(attempt, run));
    }

    /** Stops an attempt; its prefix stays in memory as long as there is room. */
    void stop(Attempt attempt) {
        attempt.mRun++;
        attempt.mServiceNanos += mClock.now() - attempt.mStartedNanos;
        if (attempt.mPieceNanos > 0) {
            // The tokens of the piece that are complete by now are kept.
            long done = (mClock.now() - attempt.mPieceStartedNanos) / attempt.mPieceNanos;
            attempt.mTokensLeft -= (int) Math.min(done, attempt.mTokensLeft);
        }
        hold(attempt);
    }

    /** Frees the prefix of a program. */
    void release(String program) {
        Integer held = mPrefixes.remove(program);
        mUsedTokens -= held == null ? 0 : held;
    }

    private void nextPiece(Attempt attempt, int run) {
        if (attempt.mRun != run) {
            return;
        }
        if (attempt.mTokensLeft == 0) {
            hold(attempt);
            end(attempt, run, Attempt.Outcome.DONE);
            return;
        }
        int tokens = Math.min(TOKENS_PER_PIECE, attempt.mTokensLeft);
        long nanos = tokens * TOKEN_NANOS * mSlowdown;
        attempt.mPieceStartedNanos = mClock.now();
        attempt.mPieceNanos = TOKEN_NANOS * mSlowdown;
        mClock.after(
                nanos,
                () -> {
                    if (attempt.mRun == run) {
                        attempt.mTokensLeft -= tokens;
                        attempt.mListener.progressed(tokens, nanos);
                        nextPiece(attempt, run);
                    }
                });
    }

    private void end(Attempt attempt, int run, Attempt.Outcome outcome) {
        if (attempt.mRun != run) {
            return;
        }
        attempt.mRun++;
        attempt.mServiceNanos += mClock.now() - attempt.mStartedNanos;
        mFreed.accept(attempt);
        attempt.mListener.ended(outcome, attempt.mServiceNanos);
    }

    private void hold(Attempt attempt) {
        String program = attempt.mCall.program().id();
        release(program);
        int tokens = attempt.mCall.promptTokens() + attempt.tokensDone();
        mPrefixes.put(program, tokens);
        mUsedTokens += tokens;
        while (mUsedTokens > mMemoryTokens) {
            Map.Entry<String, Integer> oldest = mPrefixes.firstEntry();
            release(oldest.getKey());
        }
    }
}
