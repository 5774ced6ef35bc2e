package org.oleandertrack.core.ledger;

/**
 * Settings of a {@link MemoryLedger}. Immutable.
 *
 * @param idleNanos time without a call after which an owner is released, in nanoseconds
 * @param idleAfterEndNanos the same for an owner that makes a call after it has ended; at most
 *     {@code idleNanos}
 * @param settleNanos time after an owner's last activity within which the engine has stored all
 *     tokens of its calls, in nanoseconds; a release sent earlier is repeated once afterwards
 * @param minBackoffNanos time before the first repetition of a release, in nanoseconds
 * @param maxBackoffNanos longest time before a repetition, in nanoseconds
 * @param maxOwners number of owners above which the least recently used one is released; the ledger
 *     never keeps more than twice this number, apart from owners with calls in progress
 * @param maxGapReleases number of confirmed releases of one owner after which lost events cause no
 *     further releases
 */
public record LedgerConfig(
        long idleNanos,
        long idleAfterEndNanos,
        long settleNanos,
        long minBackoffNanos,
        long maxBackoffNanos,
        int maxOwners,
        int maxGapReleases) {

    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is not positive or two values contradict each
     *     other
     */
    public LedgerConfig {
        if (idleAfterEndNanos <= 0 || settleNanos <= 0 || minBackoffNanos <= 0) {
            throw new IllegalArgumentException(
                    "idleAfterEndNanos, settleNanos or minBackoffNanos is not positive");
        }
        if (idleAfterEndNanos > idleNanos || minBackoffNanos > maxBackoffNanos) {
            throw new IllegalArgumentException(
                    "idleAfterEndNanos > idleNanos or minBackoffNanos > maxBackoffNanos");
        }
        if (maxOwners <= 0 || maxGapReleases <= 0) {
            throw new IllegalArgumentException("maxOwners or maxGapReleases is not positive");
        }
    }

    /**
     * Returns the settings for one engine with the given idle time.
     *
     * <p>At the design load about 105 programs are in progress per engine, so 8,192 owners leave
     * ample room for sub-agents and for owners that have ended.
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

    /**
     * Returns the time before the next attempt after the given number of attempts, in nanoseconds.
     */
    long backoffNanos(int attempts) {
        int doublings = Math.clamp(attempts - 1L, 0, 30);
        long factor = 1L << doublings;
        return minBackoffNanos > maxBackoffNanos / factor
                ? maxBackoffNanos
                : minBackoffNanos * factor;
    }
}
