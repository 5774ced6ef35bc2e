package org.oleandertrack.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against callers that wait for a target that hangs, and against giving up requests that are
 * only late.
 */
final class SilenceRuleTest {

    @Test
    void anUnexplainedSilenceIsAStall() {
        assertFalse(SilenceRule.isStalled(899, 0, true, true));
        assertTrue(SilenceRule.isStalled(900, 0, true, true));
    }

    @Test
    void aBurstDoesNotHideATargetThatHangs() {
        assertEquals(1_500, SilenceRule.limitMillis(700));
        assertTrue(SilenceRule.isStalled(1_500, 700, true, false));
        assertTrue(SilenceRule.isStalled(1_500, 700, false, false));
    }

    @Test
    void aFullTargetThatAnswersOthersIsOnlyLate() {
        assertFalse(SilenceRule.isStalled(3_000, 200, false, true));
    }

    @Test
    void aSlowTargetGetsTheTimeThatWasPredicted() {
        assertFalse(SilenceRule.isStalled(2_300, 1_600, true, false));
        assertTrue(SilenceRule.isStalled(2_400, 1_600, true, false));
    }
}
