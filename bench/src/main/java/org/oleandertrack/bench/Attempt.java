package org.oleandertrack.bench;

/** A call at one target. The engine keeps its progress here. */
final class Attempt {

    /** What an attempt reports. */
    interface Listener {

        /** Some tokens of the answer arrived. */
        default void progressed(int tokens, long nanos) {}

        /** The attempt ended by itself; not called after a cancellation. */
        void ended(Outcome outcome, long serviceNanos);
    }

    /** How an attempt ended. */
    enum Outcome {
        DONE,
        FAILED,
        NOT_RUN
    }

    final Call mCall;
    final Listener mListener;
    final boolean mResumable;
    long mPrefillNanos;
    int mTokensLeft;
    long mStartedNanos;
    long mServiceNanos;
    long mPieceStartedNanos;
    // Time per token of the piece under way; 0 before the first one.
    long mPieceNanos;
    // Counts starts, so that events of an earlier run are ignored.
    int mRun;

    Attempt(Call call, boolean resumable, Listener listener) {
        mCall = call;
        mListener = listener;
        mResumable = resumable;
        mTokensLeft = call.generatedTokens();
    }

    int tokensDone() {
        return mCall.generatedTokens() - mTokensLeft;
    }
}
