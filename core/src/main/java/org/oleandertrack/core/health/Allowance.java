package org.oleandertrack.core.health;

/**
 * An allowance of extra calls in proportion to the callers' calls. It starts empty, so the extra
 * calls never exceed the share of the calls counted so far; what is saved up is bounded.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class Allowance {

    private static final int HUNDRED = 100;

    private final int mPerHundred;
    private final long mMaxHundredths;
    private long mHundredths;

    /**
     * Creates an empty allowance.
     *
     * @param perHundred extra calls allowed for each hundred calls, from 0 to 100
     * @param maxSaved largest number of extra calls saved up; positive
     * @throws IllegalArgumentException if a value is out of range
     */
    public Allowance(int perHundred, int maxSaved) {
        if (perHundred < 0 || perHundred > HUNDRED || maxSaved <= 0) {
            throw new IllegalArgumentException(
                    "perHundred " + perHundred + ", maxSaved " + maxSaved);
        }
        mPerHundred = perHundred;
        mMaxHundredths = (long) maxSaved * HUNDRED;
    }

    /** Counts a call of a caller. */
    public void counted() {
        mHundredths = Math.min(mMaxHundredths, mHundredths + mPerHundred);
    }

    /** Returns whether an extra call is left. */
    public boolean isAvailable() {
        return mHundredths >= HUNDRED;
    }

    /** Takes one extra call from the allowance and returns whether there was one. */
    public boolean take() {
        if (!isAvailable()) {
            return false;
        }
        mHundredths -= HUNDRED;
        return true;
    }
}
