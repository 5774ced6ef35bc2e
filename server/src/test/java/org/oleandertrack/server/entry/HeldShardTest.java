package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.program.ProgramKey;

/** The state of one shard, and its way out of this process. */
final class HeldShardTest {

    private final HeldShard mShard = new HeldShard(3, 7);

    /** Guards against a shard given away while a call of it still runs here. */
    @Test
    void releaseWaitsForTheLastCall() {
        assertTrue(mShard.enter());
        assertTrue(mShard.enter());
        CompletableFuture<Void> released = mShard.release();
        mShard.exit();
        assertFalse(released.isDone());
        mShard.exit();
        assertTrue(released.isDone());
    }

    /** Guards against new calls that keep a shard from ever being released. */
    @Test
    void releasingShardTakesNoCall() {
        assertTrue(mShard.enter());
        CompletableFuture<Void> released = mShard.release();
        assertFalse(mShard.enter());
        mShard.exit();
        assertTrue(released.isDone());
        assertFalse(mShard.enter());
    }

    /** Guards against a release of an idle shard that never completes. */
    @Test
    void idleShardIsReleasedAtOnce() {
        assertTrue(mShard.enter());
        mShard.exit();
        assertTrue(mShard.release().isDone());
    }

    /** Guards against state of an ended program that stays in memory. */
    @Test
    void forgottenProgramStartsAnew() {
        ProgramKey key = new ProgramKey("org", "p");
        RootProgram before = mShard.program(key);
        assertSame(before, mShard.program(key));
        mShard.attained(key, 5, 0);
        mShard.forget(key);
        assertNotSame(before, mShard.program(key));
        assertEquals(0, mShard.attainedNanos(key));
    }

    /** Guards against a program queued behind others for service that another organisation had. */
    @Test
    void attainedServiceOfTwoOrganisationsIsKeptApart() {
        mShard.attained(new ProgramKey("org-a", "p"), 5, 0);
        assertEquals(5, mShard.attainedNanos(new ProgramKey("org-a", "p")));
        assertEquals(0, mShard.attainedNanos(new ProgramKey("org-b", "p")));
    }
}
