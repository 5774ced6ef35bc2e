package org.oleandertrack.core.organisation;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The age of this host's knowledge of the newest configuration. A confirmation is an answer of the
 * store, direct or passed on by a peer, which states the newest configuration. It is as old as the
 * call that brought it: a change after the start of the call may be missing from the answer. The
 * age is the larger one of two clocks, because the monotonic clock stands still while the process
 * is frozen, and the wall clock may be set back. The age must be read several times a second, see
 * {@link ForwardWallClock}. Thread-safe.
 */
public final class ConfigFreshness {

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LongSupplier mNanoClock;
    private final LongSupplier mWallClockMillis;
    // The moment as of which the youngest confirmation holds.
    private volatile Optional<Moment> mLatest = Optional.empty();
    private volatile OptionalLong mLastAnswerNanos = OptionalLong.empty();

    /**
     * Creates an instance without a confirmation.
     *
     * @param nanoClock monotonic clock, in nanoseconds
     * @param wallClockMillis wall clock, in milliseconds
     */
    public ConfigFreshness(LongSupplier nanoClock, LongSupplier wallClockMillis) {
        mNanoClock = nanoClock;
        mWallClockMillis = wallClockMillis;
    }

    /** A moment on both clocks. */
    public record Moment(long nanos, long wallMillis) {

        /** Returns the moment that was the given time earlier. */
        public Moment minusMillis(long millis) {
            return new Moment(nanos - TimeUnit.MILLISECONDS.toNanos(millis), wallMillis - millis);
        }
    }

    /** Returns the present moment. */
    public Moment now() {
        return new Moment(mNanoClock.getAsLong(), mWallClockMillis.getAsLong());
    }

    /**
     * Records an answer of the store to this host. Everything that it states must be in force
     * before.
     *
     * @param begun when the call to the store was begun
     */
    public synchronized void confirm(Moment begun) {
        mLastAnswerNanos = OptionalLong.of(mNanoClock.getAsLong());
        adopt(begun);
    }

    /**
     * Records a confirmation of a peer that names the configuration in force here.
     *
     * @param begun when the call to the peer was begun
     * @param ageMillis age of the confirmation according to the peer, in milliseconds
     * @return whether it is younger than the youngest one before
     */
    public synchronized boolean confirmThroughPeer(Moment begun, long ageMillis) {
        return adopt(begun.minusMillis(Math.max(0, ageMillis)));
    }

    /** Returns the age of the youngest confirmation, in milliseconds; empty if there is none. */
    public OptionalLong ageMillis() {
        // Without a confirmation too, the wall clock has to be read regularly.
        Moment now = now();
        Optional<Moment> latest = mLatest;
        return latest.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(millisBetween(latest.get(), now));
    }

    /**
     * Returns the time since the store last answered this host, in milliseconds; empty if it never
     * has. The wall clock does not count, since a host that was frozen is about to get an answer.
     */
    public OptionalLong millisSinceAnswer() {
        OptionalLong lastAnswerNanos = mLastAnswerNanos;
        return lastAnswerNanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        (mNanoClock.getAsLong() - lastAnswerNanos.getAsLong()) / NANOS_PER_MILLI);
    }

    private boolean adopt(Moment asOf) {
        Moment now = now();
        if (mLatest.isPresent() && millisBetween(mLatest.get(), now) <= millisBetween(asOf, now)) {
            return false;
        }
        mLatest = Optional.of(asOf);
        return true;
    }

    private static long millisBetween(Moment asOf, Moment now) {
        long steadyMillis = Math.ceilDiv(now.nanos() - asOf.nanos(), NANOS_PER_MILLI);
        return Math.max(0, Math.max(steadyMillis, now.wallMillis() - asOf.wallMillis()));
    }
}
