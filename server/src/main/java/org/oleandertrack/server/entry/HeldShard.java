package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.core.queue.AttainedService;

/** State in memory of one shard that this process holds. Guarded by its own lock. Thread safe. */
final class HeldShard {

    /** At 190,000 programs on 4,096 shards a shard has about 50; this leaves room for skew. */
    private static final int MAX_PROGRAMS = 4_096;

    private final int mShard;
    private final long mFence;
    private final CompletableFuture<Void> mReleased = new CompletableFuture<>();
    private final Map<ProgramKey, RootProgram> mPrograms = new LinkedHashMap<>(16, 0.75f, true);
    private final AttainedService mAttained = new AttainedService(MAX_PROGRAMS);
    private int mCalls;
    private boolean mReleasing;

    HeldShard(int shard, long fence) {
        mShard = shard;
        mFence = fence;
    }

    // Operations

    /** Counts a call into the shard; false if the shard is being released. */
    synchronized boolean enter() {
        if (mReleasing) {
            return false;
        }
        mCalls++;
        return true;
    }

    /** Counts a call out of the shard. */
    void exit() {
        boolean released;
        synchronized (this) {
            mCalls--;
            released = mReleasing && mCalls == 0;
        }
        if (released) {
            mReleased.complete(null);
        }
    }

    /** Takes no more calls; the future completes when the last one has ended. */
    CompletableFuture<Void> release() {
        boolean released;
        synchronized (this) {
            mReleasing = true;
            released = mCalls == 0;
        }
        if (released) {
            mReleased.complete(null);
        }
        return mReleased;
    }

    /** Returns the state of a root program, creating an empty one if needed. */
    synchronized RootProgram program(ProgramKey root) {
        RootProgram program = mPrograms.computeIfAbsent(root, RootProgram::new);
        if (mPrograms.size() > MAX_PROGRAMS) {
            dropIdleProgram();
        }
        return program;
    }

    /** Drops the state of a program that has ended. */
    synchronized void forget(ProgramKey root) {
        mPrograms.remove(root);
        mAttained.forget(attainedKey(root));
    }

    synchronized void attained(ProgramKey program, long nanos, long nowNanos) {
        mAttained.add(attainedKey(program), nanos, nowNanos);
    }

    // Accessors

    int shard() {
        return mShard;
    }

    long fence() {
        return mFence;
    }

    synchronized long attainedNanos(ProgramKey program) {
        return mAttained.attainedNanos(attainedKey(program));
    }

    synchronized Collection<RootProgram> programs() {
        return new ArrayList<>(mPrograms.values());
    }

    // Helpers

    /** Program ids are unique only within their organisation. */
    private static String attainedKey(ProgramKey program) {
        return program.organisation() + '/' + program.program();
    }

    /** Drops the program unused for longest; its state is read from the store when needed again. */
    private void dropIdleProgram() {
        for (RootProgram program : mPrograms.values()) {
            if (program.isIdle()) {
                mPrograms.remove(program.key());
                return;
            }
        }
    }
}
