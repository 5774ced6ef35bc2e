package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.MILLISECOND;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Simulates a model engine. It runs each call at a constant speed and keeps the prefixes of
 * programs in limited memory, from which the least recently used prefixes are evicted. It can be
 * slowed down, and it can be made to fail. Answers are generated in chunks of several tokens; a
 * change of speed takes effect at the next chunk of each answer.
 */
final class Engine {

    /** Time to generate one token of an answer. */
    static final long GENERATION_NANOS_PER_TOKEN = 73 * MILLISECOND;

    /** Time to compute one token of a prompt. */
    static final long PREFILL_NANOS_PER_TOKEN = MILLISECOND / 10;

    /** Time after which a failing engine answers a call with an error. */
    static final long FAILURE_LATENCY_NANOS = 50 * MILLISECOND;

    private static final int TOKENS_PER_CHUNK = 4;

    private final VirtualClock mClock;
    private final long mMemoryCapacityTokens;
    // In access order: the first entry is the least recently used one.
    private final LinkedHashMap<String, Integer> mPrefixTokensByProgram =
            new LinkedHashMap<>(16, 0.75f, true);
    private final Consumer<Attempt> mOnAttemptEnd;
    private long mUsedMemoryTokens;
    private int mSlowdownFactor = 1;
    private boolean mFailing;
    private long mComputedPromptTokens;

    /**
     * Creates an engine.
     *
     * @param memoryTokens number of prefix tokens that fit into the memory
     * @param onAttemptEnd called when an attempt has succeeded or failed, before the listener of
     *     the attempt
     */
    Engine(VirtualClock clock, long memoryTokens, Consumer<Attempt> onAttemptEnd) {
        mClock = clock;
        mMemoryCapacityTokens = memoryTokens;
        mOnAttemptEnd = onAttemptEnd;
    }

    /** Returns the engine time of a call whose whole prompt has to be computed. */
    static long serviceNanos(int promptTokens, int generatedTokens) {
        return promptTokens * PREFILL_NANOS_PER_TOKEN
                + generatedTokens * GENERATION_NANOS_PER_TOKEN;
    }

    void setSlowdownFactor(int factor) {
        mSlowdownFactor = factor;
    }

    void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Returns the number of tokens that had to be computed before generation could start or
     * continue, because they were not in memory.
     */
    long computedPromptTokens() {
        return mComputedPromptTokens;
    }

    /** Starts an attempt, or resumes one that was stopped. */
    void start(Attempt attempt) {
        attempt.mRunNumber++;
        attempt.mStartedNanos = mClock.nowNanos();
        attempt.mNanosPerToken = 0;
        int runNumber = attempt.mRunNumber;
        if (mFailing) {
            mClock.scheduleAfter(
                    FAILURE_LATENCY_NANOS, () -> end(attempt, runNumber, Attempt.Outcome.FAILED));
            return;
        }
        int cachedTokens = mPrefixTokensByProgram.getOrDefault(attempt.mCall.program().id(), 0);
        int neededTokens = attempt.mCall.promptTokens() + attempt.completedTokens();
        int missingTokens = Math.max(0, neededTokens - cachedTokens);
        mComputedPromptTokens += missingTokens;
        attempt.mPrefillNanos = missingTokens * PREFILL_NANOS_PER_TOKEN;
        mClock.scheduleAfter(
                attempt.mPrefillNanos * mSlowdownFactor, () -> startNextChunk(attempt, runNumber));
    }

    /** Stops an attempt. Its prefix stays in memory until it is evicted. */
    void stop(Attempt attempt) {
        attempt.mRunNumber++;
        attempt.mServiceNanos += mClock.nowNanos() - attempt.mStartedNanos;
        if (attempt.mNanosPerToken > 0) {
            // Keep the tokens of the current chunk that are complete.
            long completedTokens =
                    (mClock.nowNanos() - attempt.mChunkStartedNanos) / attempt.mNanosPerToken;
            attempt.mRemainingTokens -= (int) Math.min(completedTokens, attempt.mRemainingTokens);
        }
        storePrefix(attempt);
    }

    /** Frees the memory that the prefix of a program occupies. */
    void releasePrefix(String programId) {
        Integer cachedTokens = mPrefixTokensByProgram.remove(programId);
        mUsedMemoryTokens -= cachedTokens == null ? 0 : cachedTokens;
    }

    private void startNextChunk(Attempt attempt, int runNumber) {
        if (attempt.mRunNumber != runNumber) {
            return;
        }
        if (attempt.mRemainingTokens == 0) {
            storePrefix(attempt);
            end(attempt, runNumber, Attempt.Outcome.DONE);
            return;
        }
        int tokens = Math.min(TOKENS_PER_CHUNK, attempt.mRemainingTokens);
        long nanos = tokens * GENERATION_NANOS_PER_TOKEN * mSlowdownFactor;
        attempt.mChunkStartedNanos = mClock.nowNanos();
        attempt.mNanosPerToken = GENERATION_NANOS_PER_TOKEN * mSlowdownFactor;
        mClock.scheduleAfter(
                nanos,
                () -> {
                    if (attempt.mRunNumber == runNumber) {
                        attempt.mRemainingTokens -= tokens;
                        attempt.mListener.onTokens(tokens, nanos);
                        startNextChunk(attempt, runNumber);
                    }
                });
    }

    private void end(Attempt attempt, int runNumber, Attempt.Outcome outcome) {
        if (attempt.mRunNumber != runNumber) {
            return;
        }
        attempt.mRunNumber++;
        attempt.mServiceNanos += mClock.nowNanos() - attempt.mStartedNanos;
        mOnAttemptEnd.accept(attempt);
        attempt.mListener.onEnd(outcome, attempt.mServiceNanos);
    }

    private void storePrefix(Attempt attempt) {
        String programId = attempt.mCall.program().id();
        releasePrefix(programId);
        int tokens = attempt.mCall.promptTokens() + attempt.completedTokens();
        mPrefixTokensByProgram.put(programId, tokens);
        mUsedMemoryTokens += tokens;
        while (mUsedMemoryTokens > mMemoryCapacityTokens) {
            Map.Entry<String, Integer> leastRecentlyUsed = mPrefixTokensByProgram.firstEntry();
            releasePrefix(leastRecentlyUsed.getKey());
        }
    }
}
