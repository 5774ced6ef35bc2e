package org.oleandertrack.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against knowledge of the configuration that is taken to be younger than it is. */
final class ConfigFreshnessTest {

    private final TestClocks mClocks = new TestClocks();
    private final ConfigFreshness mFreshness = mClocks.makeFreshness();

    private void confirmNow() {
        mFreshness.confirm(mFreshness.now());
    }

    @Test
    void withoutAConfirmationThereIsNoAge() {
        assertEquals(OptionalLong.empty(), mFreshness.ageMillis());
        assertEquals(OptionalLong.empty(), mFreshness.millisSinceAnswer());
    }

    @Test
    void aConfirmationIsAsOldAsTheCallThatBroughtIt() {
        ConfigFreshness.Moment begun = mFreshness.now();
        mClocks.run(1_500);
        mFreshness.confirm(begun);
        assertEquals(OptionalLong.of(1_500), mFreshness.ageMillis());
        assertEquals(OptionalLong.of(0), mFreshness.millisSinceAnswer());
    }

    @Test
    void aFreezeCountsAlthoughTheMonotonicClockStandsStill() {
        confirmNow();
        mClocks.run(100);
        mClocks.freeze(6_000);
        assertEquals(OptionalLong.of(6_100), mFreshness.ageMillis());
    }

    @Test
    void aCallThatWasUnderWayDuringAFreezeConfirmsNothingNew() {
        ConfigFreshness.Moment begun = mFreshness.now();
        mClocks.freeze(6_000);
        mFreshness.confirm(begun);
        assertEquals(OptionalLong.of(6_000), mFreshness.ageMillis());
    }

    @Test
    void aWallClockThatIsSetBackDoesNotMakeAConfirmationYounger() {
        confirmNow();
        mClocks.run(3_000);
        mClocks.setWallClock(-2_000);
        assertEquals(OptionalLong.of(3_000), mFreshness.ageMillis());
    }

    /** Guards against a freeze that a wall clock hides because it was set back before. */
    @Test
    void aFreezeAfterTheWallClockWasSetBackCounts() {
        mClocks.setWallClock(2_000);
        confirmNow();
        mClocks.setWallClock(-2_000);
        mClocks.run(250);
        assertEquals(OptionalLong.of(250), mFreshness.ageMillis());
        mClocks.freeze(5_000);
        assertEquals(OptionalLong.of(5_250), mFreshness.ageMillis());
    }

    @Test
    void anOlderConfirmationOfAPeerIsNotAdopted() {
        confirmNow();
        mClocks.run(1_000);
        assertFalse(mFreshness.confirmThroughPeer(mFreshness.now(), 1_200));
        assertEquals(OptionalLong.of(1_000), mFreshness.ageMillis());
    }

    @Test
    void theDurationOfTheCallToAPeerCounts() {
        ConfigFreshness.Moment begun = mFreshness.now();
        mClocks.run(300);
        assertTrue(mFreshness.confirmThroughPeer(begun, 1_000));
        assertEquals(OptionalLong.of(1_300), mFreshness.ageMillis());
        assertEquals(OptionalLong.empty(), mFreshness.millisSinceAnswer());
    }

    /** Guards against a peer whose clock was set forward and back, and that states a future. */
    @Test
    void aNegativeAgeOfAPeerCountsAsNone() {
        mFreshness.confirmThroughPeer(mFreshness.now(), -500);
        mClocks.run(200);
        assertEquals(OptionalLong.of(200), mFreshness.ageMillis());
    }
}
