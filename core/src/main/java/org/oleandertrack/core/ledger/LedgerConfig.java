package org.oleandertrack.core.ledger;

/**
 * Limits of a {@link MemoryLedger}. Immutable.
 *
 * @param idleNanos time without a call after which an owner is freed
 * @param lateIdleNanos the same for an owner that makes a call after its end; at most {@code
 *     idleNanos}
 * @param settleNanos time after an owner's last activity at which the engine has stored everything
 *     that its calls left behind; a release before that time is repeated once after it
 * @param minBackoffNanos time before the first repetition of a release
 * @param maxBackoffNanos longest time before a repetition
 * @param maxOwners owners above which the one unused for longest is freed; the ledger never keeps
 *     more than twice this number, apart from owners with calls under way
 * @param maxGapReleases confirmed releases of one owner after which lost events lead to no further
 *     ones
 */
public record LedgerConfig(
        long idleNanos,
        long lateIdleNanos,
        long settleNanos,
        long minBackoffNanos,
        long maxBackoffNanos,
        int maxOwners,
        int maxGapReleases) {

    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if one is not positive or two do not fit together
     */
    public LedgerConfig {
        if (lateIdleNanos <= 0 || settleNanos <= 0 || minBackoffNanos <= 0) {
            throw new IllegalArgumentException("a time is not positive");
        }
        if (lateIdleNanos > idleNanos || minBackoffNanos > maxBackoffNanos) {
            throw new IllegalArgumentException("a shorter time exceeds the longer one");
        }
        if (maxOwners <= 0 || maxGapReleases <= 0) {
            throw new IllegalArgumentException("a number is not positive");
        }
    }

    /**
     * Returns the limits for one engine with the given idle time.
     *
     * <p>At the design size there are about 105 programs under way per engine, so 8,192 owners
     * leave ample room for sub-agents and for owners that have ended.
     */
    public static LedgerConfig withIdleSeconds(long idleSeconds) {
        return new LedgerConfig(
                idleSeconds * SECOND_NANOS,
                Math.min(idleSeconds, 30) * SECOND_NANOS,
                5 * SECOND_NANOS,
                SECOND_NANOS / 4,
                60 * SECOND_NANOS,
                8_192,
                8);
    }

    /** Returns the time before the next attempt after a number of attempts. */
    long backoffNanos(int attempts) {
        int doublings = Math.clamp(attempts - 1L, 0, 30);
        long factor = 1L << doublings;
        return minBackoffNanos > maxBackoffNanos / factor
                ? maxBackoffNanos
                : minBackoffNanos * factor;
    }
}
