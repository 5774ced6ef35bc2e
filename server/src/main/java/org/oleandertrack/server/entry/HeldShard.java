package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.core.queue.AttainedService;

/** In-memory state of a shard that this process holds. Thread safe. */
final class HeldShard {

    /**
     * Maximum number of root programs kept in memory. With 190,000 programs on 4,096 shards, a
     * shard has about 50; the rest is headroom for an uneven distribution.
     */
    private static final int MAX_PROGRAMS = 4_096;

    private final int mShard;
    private final long mFence;
    private final CompletableFuture<Void> mReleased = new CompletableFuture<>();
    private final Map<ProgramKey, RootProgram> mPrograms = new LinkedHashMap<>(16, 0.75f, true);
    private final AttainedService mAttainedService = new AttainedService(MAX_PROGRAMS);
    private int mRunningCalls;
    private boolean mReleasing;

    HeldShard(int shard, long fence) {
        mShard = shard;
        mFence = fence;
    }

    // Operations

    /** Registers a call; returns false if the shard is being released. */
    synchronized boolean tryEnter() {
        if (mReleasing) {
            return false;
        }
        mRunningCalls++;
        return true;
    }

    /** Registers the end of a call; the last one completes a pending release. */
    void exit() {
        boolean released;
        synchronized (this) {
            mRunningCalls--;
            released = mReleasing && mRunningCalls == 0;
        }
        if (released) {
            mReleased.complete(null);
        }
    }

    /** Refuses new calls; the future completes when the last running call has ended. */
    CompletableFuture<Void> release() {
        boolean released;
        synchronized (this) {
            mReleasing = true;
            released = mRunningCalls == 0;
        }
        if (released) {
            mReleased.complete(null);
        }
        return mReleased;
    }

    /** Returns the state of a root program; creates it if it is not in memory. */
    synchronized RootProgram getOrCreateProgram(ProgramKey root) {
        RootProgram program = mPrograms.computeIfAbsent(root, RootProgram::new);
        if (mPrograms.size() > MAX_PROGRAMS) {
            evictIdleProgram();
        }
        return program;
    }

    /** Removes the state of a root program that has ended. */
    synchronized void removeProgram(ProgramKey root) {
        mPrograms.remove(root);
        mAttainedService.forget(attainedKey(root));
    }

    /** Adds service time that a call of a program has received. */
    synchronized void addAttainedNanos(ProgramKey program, long nanos, long nowNanos) {
        mAttainedService.add(attainedKey(program), nanos, nowNanos);
    }

    // Accessors

    int shard() {
        return mShard;
    }

    long fence() {
        return mFence;
    }

    /** Returns the service time that the calls of a program have received. */
    synchronized long attainedNanos(ProgramKey program) {
        return mAttainedService.attainedNanos(attainedKey(program));
    }

    synchronized Collection<RootProgram> programs() {
        return new ArrayList<>(mPrograms.values());
    }

    // Helpers

    /** Includes the organisation, because program ids are unique only within it. */
    private static String attainedKey(ProgramKey program) {
        return program.organisation() + '/' + program.program();
    }

    /**
     * Removes the least recently used program that is idle. Its state is read from the store again
     * when it is needed.
     */
    private void evictIdleProgram() {
        for (RootProgram program : mPrograms.values()) {
            if (program.isIdle()) {
                mPrograms.remove(program.key());
                return;
            }
        }
    }
}
