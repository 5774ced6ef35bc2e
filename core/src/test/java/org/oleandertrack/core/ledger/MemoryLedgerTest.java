package org.oleandertrack.core.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards each rule of {@link MemoryLedger} by itself. */
final class MemoryLedgerTest {

    private static final long SECOND = 1_000_000_000L;
    private static final LedgerConfig CONFIG =
            new LedgerConfig(600 * SECOND, 30 * SECOND, 5 * SECOND, SECOND, 8 * SECOND, 4, 3);

    private final MemoryLedger mLedger = new MemoryLedger(CONFIG);
    private long mNow = Long.MAX_VALUE - 20 * SECOND; // The clock overflows during the tests.

    /** Guards against an ended program that keeps its memory, and against endless releases. */
    @Test
    void endedOwnerIsReleasedAgainOnceItsLastActivityHasSettled() {
        run("o/p", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        confirm(only("o/p", ReleaseReason.ENDED));
        assertEquals(0, mLedger.heldTokens());
        assertNoneDue();
        mNow += 5 * SECOND;
        confirm(only("o/p", ReleaseReason.ENDED));
        read();
        read();
        assertEquals(0, mLedger.owners());
        mNow += 1_000 * SECOND;
        assertNoneDue();
    }

    /** Guards against a release under a running call, and against one that is then forgotten. */
    @Test
    void callUnderWayProtectsItsOwnerUntilItEnds() {
        mLedger.callStarted("o/p", mNow);
        mLedger.end("o/p", ReleaseReason.ORDERED, mNow);
        mNow += 2_000 * SECOND;
        assertNoneDue();
        mLedger.callEnded("o/p", 10, mNow);
        only("o/p", ReleaseReason.ORDERED);
    }

    /** Guards against sub-agents that keep memory after their root, also unknown ones. */
    @Test
    void endOfRootReleasesSubAgentsAndNoOtherProgram() {
        run("o/p", 10);
        run("o/p/s", 10);
        run("o/p2", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        List<Release> due = mLedger.takeDue(10, mNow);
        assertEquals(List.of("o/p/s", "o/p"), due.stream().map(Release::owner).toList());
        read(stored(1, "o/p/t"));
        only("o/p/t", ReleaseReason.STORED_AFTER_END);
    }

    /** Guards against a release that is lost, and against a flood of repetitions. */
    @Test
    void unconfirmedReleaseIsRepeatedWithGrowingBackoff() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        for (int backoffSeconds : new int[] {1, 2, 4, 8, 8}) {
            Release release = only("o/p", ReleaseReason.ENDED);
            mLedger.releaseFailed(release, mNow);
            mNow += backoffSeconds * SECOND - 1;
            assertNoneDue();
            mNow++;
        }
        assertEquals(6, only("o/p", ReleaseReason.ENDED).attempt());
    }

    /** Guards against a store whose late event arrives after the ledger forgot the owner. */
    @Test
    void storeAfterTheEndLeadsToAnotherRelease() {
        endAndForget("o/p");
        read(stored(1, "o/p"));
        only("o/p", ReleaseReason.STORED_AFTER_END);
    }

    /** Guards against a confirmation that hides a store which the engine made after it. */
    @Test
    void storeDuringReleaseIsNotCoveredByIt() {
        run("o/p", 10);
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        mNow += 6 * SECOND;
        Release release = only("o/p", ReleaseReason.ENDED);
        read(stored(1, "o/p"));
        confirm(release);
        assertEquals(10, mLedger.heldTokens());
        mNow += SECOND;
        confirm(only("o/p", ReleaseReason.STORED_AFTER_END));
    }

    /** Guards against a late confirmation that is taken for one of a newer release. */
    @Test
    void confirmationOfAnotherReleaseIsIgnored() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        Release old = only("o/p", ReleaseReason.ENDED);
        mLedger.releaseFailed(old, mNow);
        mNow += 6 * SECOND;
        Release current = only("o/p", ReleaseReason.ENDED);
        confirm(old);
        mLedger.releaseFailed(current, mNow);
        read();
        read();
        assertEquals(1, mLedger.owners());
    }

    /** Guards against a lost event that hides a store, and against releases without end. */
    @Test
    void gapReleasesEndedOwnersAgainUntilTheEventsAreWhole() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        mNow += 6 * SECOND;
        confirm(only("o/p", ReleaseReason.ENDED));
        assertEquals(1, read(stored(2, "o/other")));
        mNow += SECOND;
        confirm(only("o/p", ReleaseReason.EVENT_GAP));
        assertEquals(4, read(stored(7, "o/other")));
        mNow += 2 * SECOND;
        confirm(only("o/p", ReleaseReason.EVENT_GAP));
        read(stored(8, "o/other"));
        read();
        assertEquals(1, mLedger.owners());
        assertNoneDue();
    }

    /** Guards against releases that go on for as long as the engine loses events. */
    @Test
    void releasesAfterGapsAreBounded() {
        mLedger.end("o/p", ReleaseReason.ENDED, mNow);
        mNow += 6 * SECOND;
        int releases = 0;
        for (int sequence = 2; sequence < 60; sequence += 2) {
            for (Release release : mLedger.takeDue(10, mNow)) {
                confirm(release);
                releases++;
            }
            read(stored(sequence, "o/other"));
            mNow += 9 * SECOND;
        }
        assertEquals(CONFIG.maxGapReleases(), releases);
        assertEquals(1, mLedger.owners());
    }

    /** Guards against memory of programs that are abandoned without an end. */
    @Test
    void idleOwnerIsReleased() {
        run("o/p", 10);
        mNow += 600 * SECOND - 1;
        assertNoneDue();
        mNow++;
        only("o/p", ReleaseReason.IDLE);
    }

    /** Guards against a program that loses its memory because it was idle once. */
    @Test
    void callAfterIdleReleaseKeepsTheOwner() {
        run("o/p", 10);
        mNow += 600 * SECOND;
        confirm(only("o/p", ReleaseReason.IDLE));
        run("o/p", 10);
        mNow += 599 * SECOND;
        assertNoneDue();
        assertEquals(10, mLedger.heldTokens());
    }

    /** Guards against memory of a call that arrives after the end of its program. */
    @Test
    void callAfterTheEndIsCoveredByTheShorterIdleTime() {
        endAndForget("o/p");
        run("o/p", 10);
        assertNoneDue();
        mNow += 30 * SECOND;
        only("o/p", ReleaseReason.IDLE);
    }

    /** Guards against one program that fills the cache, and against cutting its running call. */
    @Test
    void ownerAboveItsShareIsReleasedAfterItsCall() {
        mLedger.setShareTokens(100);
        run("o/small", 100);
        mLedger.callStarted("o/large", mNow);
        read(new CacheEvent(1, CacheEvent.Kind.STORED, "o/large", 101));
        assertNoneDue();
        mLedger.callEnded("o/large", 0, mNow);
        only("o/large", ReleaseReason.SHARE);
    }

    /** Guards against a restarted process that never frees what it finds in the engine. */
    @Test
    void restartedLedgerFreesOwnersKnownFromEvents() {
        read(stored(1, "o/p"));
        assertEquals(10, mLedger.heldTokens());
        mNow += 600 * SECOND;
        only("o/p", ReleaseReason.IDLE);
    }

    /** Guards against a held count that ignores what the engine evicted by itself. */
    @Test
    void evictionLowersTheHeldTokens() {
        run("o/p", 10);
        read(stored(1, "o/p"), new CacheEvent(2, CacheEvent.Kind.EVICTED, "o/p", 4));
        assertEquals(6, mLedger.heldTokens());
    }

    /** Guards against unbounded memory, and against dropping an owner with a running call. */
    @Test
    void numberOfOwnersIsBounded() {
        mLedger.callStarted("o/running", mNow);
        for (int i = 0; i < 50; i++) {
            run("o/p" + i, 10);
            assertTrue(mLedger.owners() <= 2 * CONFIG.maxOwners(), "owners: " + mLedger.owners());
        }
        assertEquals(51 - 8, mLedger.droppedOwners());
        List<Release> due = mLedger.takeDue(100, mNow);
        assertTrue(due.stream().allMatch(r -> r.reason() == ReleaseReason.OWNER_LIMIT), "" + due);
        assertTrue(due.stream().noneMatch(r -> r.owner().equals("o/running")), "" + due);
    }

    private void run(String owner, long tokens) {
        mLedger.callStarted(owner, mNow);
        mLedger.callEnded(owner, tokens, mNow);
    }

    private void endAndForget(String owner) {
        mLedger.end(owner, ReleaseReason.ENDED, mNow);
        mNow += 6 * SECOND;
        confirm(only(owner, ReleaseReason.ENDED));
        read();
        read();
        assertEquals(0, mLedger.owners());
    }

    private void confirm(Release release) {
        mLedger.releaseConfirmed(release, mNow);
    }

    private long read(CacheEvent... events) {
        return mLedger.eventsRead(List.of(events), mNow);
    }

    private static CacheEvent stored(long sequence, String owner) {
        return new CacheEvent(sequence, CacheEvent.Kind.STORED, owner, 10);
    }

    private Release only(String owner, ReleaseReason reason) {
        List<Release> due = mLedger.takeDue(10, mNow);
        assertEquals(1, due.size(), () -> "due: " + due);
        assertEquals(owner, due.getFirst().owner());
        assertEquals(reason, due.getFirst().reason());
        return due.getFirst();
    }

    private void assertNoneDue() {
        assertEquals(List.of(), mLedger.takeDue(10, mNow));
    }
}
