package org.oleandertrack.bench;

/** One execution of a call at one target, with the progress that the engine has made on it. */
final class Attempt {

    /** Receives the progress and the outcome of an attempt. */
    interface Listener {

        /**
         * Called when the engine has generated further tokens of the answer.
         *
         * @param tokens number of tokens that were generated since the previous call
         * @param elapsedNanos time that their generation took
         */
        default void onTokens(int tokens, long elapsedNanos) {}

        /**
         * Called when the attempt has ended, but not if it was cancelled.
         *
         * @param serviceNanos engine time that the attempt has used; 0 if it was not run
         */
        void onEnd(Outcome outcome, long serviceNanos);
    }

    /** Outcome of an attempt. */
    enum Outcome {
        DONE,
        FAILED,
        NOT_RUN
    }

    final Call mCall;
    final Listener mListener;
    final boolean mResumable;
    long mPrefillNanos;
    int mRemainingTokens;
    long mStartedNanos;
    long mServiceNanos;
    long mChunkStartedNanos;
    // Generation time per token in the current chunk of the answer; 0 before the first chunk.
    long mNanosPerToken;
    // Incremented at each start, stop and end, so that the engine ignores events that
    // it scheduled for an earlier run of the attempt.
    int mRunNumber;

    Attempt(Call call, boolean resumable, Listener listener) {
        mCall = call;
        mListener = listener;
        mResumable = resumable;
        mRemainingTokens = call.generatedTokens();
    }

    int completedTokens() {
        return mCall.generatedTokens() - mRemainingTokens;
    }
}
