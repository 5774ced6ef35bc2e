package org.oleandertrack.core.health;

/**
 * Limits extra calls, such as retries, to a percentage of the callers' calls. The allowance starts
 * empty, so the extra calls never exceed the percentage of the calls counted so far. Extra calls
 * that are allowed but not made are saved up to a limit.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class ExtraCallAllowance {

    private static final int HUNDRED = 100;

    private final int mPerHundred;
    private final long mMaxSavedHundredths;
    // Saved extra calls, in hundredths of a call. Each counted call adds mPerHundred of them.
    private long mSavedHundredths;

    /**
     * Creates an empty allowance.
     *
     * @param perHundred extra calls allowed per hundred calls, from 0 to 100
     * @param maxSaved largest number of unused extra calls that are saved; positive
     * @throws IllegalArgumentException if a value is out of range
     */
    public ExtraCallAllowance(int perHundred, int maxSaved) {
        if (perHundred < 0 || perHundred > HUNDRED || maxSaved <= 0) {
            throw new IllegalArgumentException(
                    "perHundred is not from 0 to 100, or maxSaved is not positive: "
                            + perHundred
                            + ", "
                            + maxSaved);
        }
        mPerHundred = perHundred;
        mMaxSavedHundredths = (long) maxSaved * HUNDRED;
    }

    /** Counts a call by a caller. */
    public void recordCall() {
        mSavedHundredths = Math.min(mMaxSavedHundredths, mSavedHundredths + mPerHundred);
    }

    /** Returns whether at least one extra call is available. */
    public boolean isAvailable() {
        return mSavedHundredths >= HUNDRED;
    }

    /** Takes one extra call and returns true, or returns false if none is available. */
    public boolean tryTake() {
        if (!isAvailable()) {
            return false;
        }
        mSavedHundredths -= HUNDRED;
        return true;
    }
}
