package org.oleandertrack.bench;

/** One execution of a call at one target, with the progress that the engine has made on it. */
final class Attempt {

    /** Receives the progress and the outcome of an attempt. */
    interface Listener {

        /** Called when some tokens of the answer have been generated in the given time. */
        default void onTokens(int tokens, long elapsedNanos) {}

        /** Called when the attempt has ended, but not if it was cancelled. */
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
    // Time per token of the current chunk; 0 before the first chunk.
    long mNanosPerToken;
    // Incremented at each start, stop and end, so that events scheduled before are ignored.
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
