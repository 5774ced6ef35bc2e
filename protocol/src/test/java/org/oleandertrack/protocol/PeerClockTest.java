package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Lower bounds of a peer's clock at local instants. jqwik prints the seed of each property. */
final class PeerClockTest {

    private static final long SECOND = 1_000_000_000L;
    private static final BigInteger MILLION = BigInteger.valueOf(1_000_000);

    /**
     * A local clock and a peer's clock. A time is given in local nanoseconds since the start. The
     * peer's clock starts at any value, including one just before it wraps around, and runs up to 1
     * part in 1,000 faster or slower than the local clock.
     */
    record Clocks(long mLocalStart, long mPeerStart, long mDriftPerMillion) {

        long localNanos(long time) {
            return mLocalStart + time;
        }

        long peerNanos(long time) {
            long drift =
                    BigInteger.valueOf(time)
                            .multiply(BigInteger.valueOf(mDriftPerMillion))
                            .divide(MILLION)
                            .longValueExact();
            return mPeerStart + time + drift;
        }
    }

    /**
     * A sample's delays: pause before the request, then the delays of the request and the reply.
     */
    record SampleDelays(long mPauseNanos, long mRequestNanos, long mReplyNanos) {}

    /** The true times of a sample, against which a bound is checked. */
    record SampleTimes(long mSentTime, long mReadingTime, long mArrivedTime) {}

    @Provide
    Arbitrary<Clocks> clocks() {
        Arbitrary<Long> starts =
                Arbitraries.oneOf(
                        Arbitraries.longs(),
                        Arbitraries.longs().between(Long.MAX_VALUE - 10 * SECOND, Long.MAX_VALUE));
        Arbitrary<Long> drifts =
                Arbitraries.oneOf(
                        Arbitraries.longs().between(-1_000, 1_000),
                        Arbitraries.of(-1_000L, 0L, 1_000L));
        return Combinators.combine(starts, starts, drifts).as(Clocks::new);
    }

    @Provide
    Arbitrary<SampleDelays> sampleDelays() {
        Arbitrary<Long> delays =
                Arbitraries.oneOf(
                        Arbitraries.longs().between(0, SECOND / 1_000),
                        Arbitraries.longs().between(0, 10 * SECOND));
        Arbitrary<Long> pauses = Arbitraries.longs().between(0, 5 * SECOND);
        return Combinators.combine(pauses, delays, delays).as(SampleDelays::new);
    }

    private static List<SampleTimes> addSamples(
            PeerClock clock, Clocks clocks, List<SampleDelays> delays) {
        List<SampleTimes> samples = new ArrayList<>();
        long time = 0;
        for (SampleDelays delay : delays) {
            long sent = time + delay.mPauseNanos();
            long reading = sent + delay.mRequestNanos();
            time = reading + delay.mReplyNanos();
            clock.addSample(
                    clocks.localNanos(sent), clocks.peerNanos(reading), clocks.localNanos(time));
            samples.add(new SampleTimes(sent, reading, time));
        }
        return samples;
    }

    /**
     * Guards against a receiver that starts a call after the sender's lease has ended, because the
     * start deadline was converted to a later instant than the true one.
     */
    @Property(seed = "20261204", tries = 20_000)
    boolean boundIsNeverLaterThanThePeersClock(
            @ForAll("clocks") Clocks clocks,
            @ForAll @Size(min = 1, max = 20) List<@From("sampleDelays") SampleDelays> delays,
            @ForAll @LongRange(min = -20 * SECOND, max = 120 * SECOND) long fromLastArrival) {
        PeerClock clock = new PeerClock();
        List<SampleTimes> samples = addSamples(clock, clocks, delays);
        long time = samples.getLast().mArrivedTime() + fromLastArrival;
        long bound = clock.peerNanosLowerBound(clocks.localNanos(time));
        return clocks.peerNanos(time) - bound >= 0;
    }

    /**
     * Guards against start deadlines so early that calls are refused while the sender's lease is
     * still valid.
     */
    @Property(seed = "20261204", tries = 20_000)
    boolean boundIsAsPreciseAsTheBestRecentSample(
            @ForAll("clocks") Clocks clocks,
            @ForAll @Size(min = 1, max = 20) List<@From("sampleDelays") SampleDelays> delays,
            @ForAll @LongRange(min = 0, max = 10 * SECOND) long sinceLastArrival) {
        PeerClock clock = new PeerClock();
        List<SampleTimes> samples = addSamples(clock, clocks, delays);
        long time = samples.getLast().mArrivedTime() + sinceLastArrival;
        long errorNanos =
                clocks.peerNanos(time) - clock.peerNanosLowerBound(clocks.localNanos(time));
        // The error has two sources: the unknown reply delay, and the drift, which counts twice, as
        // the allowance deducted and as the real drift.
        return samples.reversed().stream()
                .limit(8)
                .allMatch(
                        sample ->
                                errorNanos
                                        <= sample.mArrivedTime()
                                                - sample.mReadingTime()
                                                + 2 * (time - sample.mSentTime()) / 1_000
                                                + 4);
    }

    /** Guards against an arbitrary result when no sample of the peer's clock is known. */
    @Example
    void conversionWithoutASampleFails() {
        assertThrows(IllegalStateException.class, () -> new PeerClock().peerNanosLowerBound(0));
    }
}
