package org.oleandertrack.core.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the rules of {@link MemoryLedger} one at a time. */
final class MemoryLedgerTest {

    private static final long SECOND = 1_000_000_000L;
    private static final LedgerConfig CONFIG =
            new LedgerConfig(600 * SECOND, 30 * SECOND, 5 * SECOND, SECOND, 8 * SECOND, 4, 3);

    private final MemoryLedger mLedger = new MemoryLedger(CONFIG);
    private long mNowNanos = Long.MAX_VALUE - 20 * SECOND; // The clock overflows during the tests.

    /**
     * Guards against an ended program that keeps its memory, and against releases that never stop.
     */
    @Test
    void endedOwnerIsReleasedAgainOnceItsLastActivityHasSettled() {
        runCall("o/p", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        confirm(takeOnlyDue("o/p", ReleaseReason.ENDED));
        assertEquals(0, mLedger.heldTokens());
        assertNoneDue();
        mNowNanos += 5 * SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.ENDED));
        readEvents();
        readEvents();
        assertEquals(0, mLedger.owners());
        mNowNanos += 1_000 * SECOND;
        assertNoneDue();
    }

    /** Guards against a release during a running call, and against forgetting that release. */
    @Test
    void callUnderWayProtectsItsOwnerUntilItEnds() {
        mLedger.recordCallStart("o/p", mNowNanos);
        mLedger.end("o/p", ReleaseReason.ORDERED, mNowNanos);
        mNowNanos += 2_000 * SECOND;
        assertNoneDue();
        mLedger.recordCallEnd("o/p", 10, mNowNanos);
        takeOnlyDue("o/p", ReleaseReason.ORDERED);
    }

    /** Guards against sub-agents, known or unknown, that keep memory after their root has ended. */
    @Test
    void endOfRootReleasesSubAgentsAndNoOtherProgram() {
        runCall("o/p", 10);
        runCall("o/p/s", 10);
        runCall("o/p2", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        List<Release> due = mLedger.takeDue(10, mNowNanos);
        assertEquals(List.of("o/p/s", "o/p"), due.stream().map(Release::owner).toList());
        readEvents(storedEvent(1, "o/p/t"));
        takeOnlyDue("o/p/t", ReleaseReason.STORED_AFTER_END);
    }

    /** Guards against a lost release, and against repeating it too often. */
    @Test
    void unconfirmedReleaseIsRepeatedWithGrowingBackoff() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        for (int backoffSeconds : new int[] {1, 2, 4, 8, 8}) {
            Release release = takeOnlyDue("o/p", ReleaseReason.ENDED);
            mLedger.recordReleaseFailure(release, mNowNanos);
            mNowNanos += backoffSeconds * SECOND - 1;
            assertNoneDue();
            mNowNanos++;
        }
        assertEquals(6, takeOnlyDue("o/p", ReleaseReason.ENDED).attempt());
    }

    /** Guards against tokens whose late event arrives after the ledger removed the owner. */
    @Test
    void storeAfterTheEndLeadsToAnotherRelease() {
        endAndAwaitRemoval("o/p");
        readEvents(storedEvent(1, "o/p"));
        takeOnlyDue("o/p", ReleaseReason.STORED_AFTER_END);
    }

    /**
     * Guards against a confirmation that hides tokens which the engine stored after the release.
     */
    @Test
    void storeDuringReleaseIsNotCoveredByIt() {
        runCall("o/p", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        mNowNanos += 6 * SECOND;
        Release release = takeOnlyDue("o/p", ReleaseReason.ENDED);
        readEvents(storedEvent(1, "o/p"));
        confirm(release);
        assertEquals(10, mLedger.heldTokens());
        mNowNanos += SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.STORED_AFTER_END));
    }

    /** Guards against attributing a late confirmation to a newer release. */
    @Test
    void confirmationOfAnotherReleaseIsIgnored() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        Release old = takeOnlyDue("o/p", ReleaseReason.ENDED);
        mLedger.recordReleaseFailure(old, mNowNanos);
        mNowNanos += 6 * SECOND;
        Release current = takeOnlyDue("o/p", ReleaseReason.ENDED);
        confirm(old);
        mLedger.recordReleaseFailure(current, mNowNanos);
        readEvents();
        readEvents();
        assertEquals(1, mLedger.owners());
    }

    /**
     * Guards against a lost event that hides stored tokens, and against releases that never stop.
     */
    @Test
    void eventGapReleasesEndedOwnersAgainUntilNoEventIsMissing() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        mNowNanos += 6 * SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.ENDED));
        assertEquals(1, readEvents(storedEvent(2, "o/other")));
        mNowNanos += SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.EVENT_GAP));
        assertEquals(4, readEvents(storedEvent(7, "o/other")));
        mNowNanos += 2 * SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.EVENT_GAP));
        readEvents(storedEvent(8, "o/other"));
        readEvents();
        assertEquals(1, mLedger.owners());
        assertNoneDue();
    }

    /** Guards against releases that are repeated for as long as the engine loses events. */
    @Test
    void releasesAfterGapsAreBounded() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNowNanos);
        mNowNanos += 6 * SECOND;
        int releases = 0;
        for (int sequence = 2; sequence < 60; sequence += 2) {
            for (Release release : mLedger.takeDue(10, mNowNanos)) {
                confirm(release);
                releases++;
            }
            readEvents(storedEvent(sequence, "o/other"));
            mNowNanos += 9 * SECOND;
        }
        assertEquals(CONFIG.maxGapReleases(), releases);
        assertEquals(1, mLedger.owners());
    }

    /** Guards against keeping the memory of programs that are abandoned without an end. */
    @Test
    void idleOwnerIsReleased() {
        runCall("o/p", 10);
        mNowNanos += 600 * SECOND - 1;
        assertNoneDue();
        mNowNanos++;
        takeOnlyDue("o/p", ReleaseReason.IDLE);
    }

    /** Guards against releasing the memory of a program that is active again after an idle time. */
    @Test
    void callAfterIdleReleaseKeepsTheOwner() {
        runCall("o/p", 10);
        mNowNanos += 600 * SECOND;
        confirm(takeOnlyDue("o/p", ReleaseReason.IDLE));
        runCall("o/p", 10);
        mNowNanos += 599 * SECOND;
        assertNoneDue();
        assertEquals(10, mLedger.heldTokens());
    }

    /** Guards against keeping the memory of a call that arrives after the end of its program. */
    @Test
    void callAfterTheEndIsCoveredByTheShorterIdleTime() {
        endAndAwaitRemoval("o/p");
        runCall("o/p", 10);
        assertNoneDue();
        mNowNanos += 30 * SECOND;
        takeOnlyDue("o/p", ReleaseReason.IDLE);
    }

    /**
     * Guards against one program that fills the cache, and against releasing it during its call.
     */
    @Test
    void ownerAboveItsShareIsReleasedAfterItsCall() {
        mLedger.setMaxTokensPerOwner(100);
        runCall("o/small", 100);
        mLedger.recordCallStart("o/large", mNowNanos);
        readEvents(new CacheEvent(1, CacheEvent.Kind.STORED, "o/large", 101));
        assertNoneDue();
        mLedger.recordCallEnd("o/large", 0, mNowNanos);
        takeOnlyDue("o/large", ReleaseReason.SHARE);
    }

    /** Guards against a restarted process that never frees memory held since before its start. */
    @Test
    void restartedLedgerFreesOwnersKnownFromEvents() {
        readEvents(storedEvent(1, "o/p"));
        assertEquals(10, mLedger.heldTokens());
        mNowNanos += 600 * SECOND;
        takeOnlyDue("o/p", ReleaseReason.IDLE);
    }

    /** Guards against a token count that ignores what the engine evicted on its own. */
    @Test
    void evictionLowersTheHeldTokens() {
        runCall("o/p", 10);
        readEvents(storedEvent(1, "o/p"), new CacheEvent(2, CacheEvent.Kind.EVICTED, "o/p", 4));
        assertEquals(6, mLedger.heldTokens());
    }

    /**
     * Guards against an unbounded number of owners, and against removing an owner with a call in
     * progress.
     */
    @Test
    void numberOfOwnersIsBounded() {
        mLedger.recordCallStart("o/running", mNowNanos);
        for (int i = 0; i < 50; i++) {
            runCall("o/p" + i, 10);
            assertTrue(mLedger.owners() <= 2 * CONFIG.maxOwners(), "owners: " + mLedger.owners());
        }
        assertEquals(51 - 8, mLedger.droppedOwners());
        List<Release> due = mLedger.takeDue(100, mNowNanos);
        assertTrue(due.stream().allMatch(r -> r.reason() == ReleaseReason.OWNER_LIMIT), "" + due);
        assertTrue(due.stream().noneMatch(r -> r.owner().equals("o/running")), "" + due);
    }

    private void runCall(String owner, long tokens) {
        mLedger.recordCallStart(owner, mNowNanos);
        mLedger.recordCallEnd(owner, tokens, mNowNanos);
    }

    private void endAndAwaitRemoval(String owner) {
        mLedger.end(owner, ReleaseReason.ENDED, mNowNanos);
        mNowNanos += 6 * SECOND;
        confirm(takeOnlyDue(owner, ReleaseReason.ENDED));
        readEvents();
        readEvents();
        assertEquals(0, mLedger.owners());
    }

    private void confirm(Release release) {
        mLedger.confirmRelease(release, mNowNanos);
    }

    private long readEvents(CacheEvent... events) {
        return mLedger.applyEvents(List.of(events), mNowNanos);
    }

    private static CacheEvent storedEvent(long sequence, String owner) {
        return new CacheEvent(sequence, CacheEvent.Kind.STORED, owner, 10);
    }

    private Release takeOnlyDue(String owner, ReleaseReason reason) {
        List<Release> due = mLedger.takeDue(10, mNowNanos);
        assertEquals(1, due.size(), () -> "due: " + due);
        assertEquals(owner, due.getFirst().owner());
        assertEquals(reason, due.getFirst().reason());
        return due.getFirst();
    }

    private void assertNoneDue() {
        assertEquals(List.of(), mLedger.takeDue(10, mNowNanos));
    }
}
