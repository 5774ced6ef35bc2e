package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against callers that wait for a target that hangs, and against giving up requests that are
 * only late.
 */
final class StallPolicyTest {

    @Test
    void anUnexplainedSilenceIsAStall() {
        assertFalse(StallPolicy.isStalled(899, 0, true, true));
        assertTrue(StallPolicy.isStalled(900, 0, true, true));
    }

    @Test
    void aBurstDoesNotHideATargetThatHangs() {
        assertEquals(1_500, StallPolicy.maxSilenceMillis(700));
        assertTrue(StallPolicy.isStalled(1_500, 700, true, false));
        assertTrue(StallPolicy.isStalled(1_500, 700, false, false));
    }

    @Test
    void aFullTargetThatAnswersOthersIsOnlyLate() {
        assertFalse(StallPolicy.isStalled(3_000, 200, false, true));
    }

    @Test
    void aSlowTargetGetsTheTimeThatWasPredicted() {
        assertFalse(StallPolicy.isStalled(2_300, 1_600, true, false));
        assertTrue(StallPolicy.isStalled(2_400, 1_600, true, false));
    }

    /** Guards against a second wait for a target that other requests show to hang. */
    @Test
    void aRepeatedRequestIsGivenUpOnlyIfAnotherOneIsUnanswered() {
        assertFalse(StallPolicy.isRepeatStalled(false, 1));
        assertTrue(StallPolicy.isRepeatStalled(false, 2));
        assertFalse(StallPolicy.isRepeatStalled(true, 2));
    }
}
