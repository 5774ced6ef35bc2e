package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.program.ProgramKey;

/** Tests the in-memory state of a shard and its release. */
final class HeldShardTest {

    private final HeldShard mShard = new HeldShard(3, 7);

    /** Guards against a shard that is released while one of its calls is still running. */
    @Test
    void releaseWaitsForTheLastCall() {
        assertTrue(mShard.tryEnter());
        assertTrue(mShard.tryEnter());
        CompletableFuture<Void> released = mShard.release();
        mShard.exit();
        assertFalse(released.isDone());
        mShard.exit();
        assertTrue(released.isDone());
    }

    /** Guards against a shard that is never released because new calls keep arriving. */
    @Test
    void releasingShardRefusesCalls() {
        assertTrue(mShard.tryEnter());
        CompletableFuture<Void> released = mShard.release();
        assertFalse(mShard.tryEnter());
        mShard.exit();
        assertTrue(released.isDone());
        assertFalse(mShard.tryEnter());
    }

    /** Guards against a release of an idle shard that never completes. */
    @Test
    void idleShardIsReleasedAtOnce() {
        assertTrue(mShard.tryEnter());
        mShard.exit();
        assertTrue(mShard.release().isDone());
    }

    /** Guards against the state of an ended program staying in memory. */
    @Test
    void removedProgramIsCreatedAgain() {
        ProgramKey key = new ProgramKey("org", "p");
        RootProgram before = mShard.getOrCreateProgram(key);
        assertSame(before, mShard.getOrCreateProgram(key));
        mShard.addAttainedNanos(key, 5, 0);
        mShard.removeProgram(key);
        assertNotSame(before, mShard.getOrCreateProgram(key));
        assertEquals(0, mShard.attainedNanos(key));
    }

    /**
     * Guards against a program with a lower priority because a program of the same id, of another
     * organisation, has received service time.
     */
    @Test
    void attainedServiceOfTwoOrganisationsIsKeptApart() {
        mShard.addAttainedNanos(new ProgramKey("org-a", "p"), 5, 0);
        assertEquals(5, mShard.attainedNanos(new ProgramKey("org-a", "p")));
        assertEquals(0, mShard.attainedNanos(new ProgramKey("org-b", "p")));
    }
}
