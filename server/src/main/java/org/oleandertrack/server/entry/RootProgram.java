package org.oleandertrack.server.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.coordination.program.ProgramSession;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** In-memory state of a root program and its sub-agents at their holder. Thread safe. */
final class RootProgram {

    private static final long RETRY_AFTER_MILLIS = 200;

    private final ProgramKey mKey;

    /** Held while the program is created or adopted, so that only one call does so. */
    private final ReentrantLock mOpenLock = new ReentrantLock();

    private final Set<String> mRunningPrograms = new HashSet<>();
    private final Map<String, RepeatCount> mRepeatCounts = new HashMap<>();
    private Optional<ProgramSession> mSession = Optional.empty();

    RootProgram(ProgramKey key) {
        mKey = key;
    }

    /** The latest committed request of a program and how often in a row it was committed. */
    private record RepeatCount(String requestDigest, int count) {}

    // Operations

    /**
     * Marks the root program or a sub-agent as running a turn.
     *
     * @throws ResultException if it is already running a turn
     */
    synchronized void beginTurn(String program) {
        if (!mRunningPrograms.add(program)) {
            throw new ResultException(
                            ResultCode.TURN_IN_PROGRESS,
                            "another turn of program " + program + " is running")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
    }

    synchronized void finishTurn(String program) {
        mRunningPrograms.remove(program);
    }

    /** Returns how many of the latest turns of a program, in a row, had this request. */
    synchronized int consecutiveRepeats(String program, String requestDigest) {
        RepeatCount count = mRepeatCounts.get(program);
        return count != null && count.requestDigest().equals(requestDigest) ? count.count() : 0;
    }

    /** Records the request of a committed turn. */
    synchronized void recordCommit(String program, String requestDigest) {
        int count = consecutiveRepeats(program, requestDigest) + 1;
        mRepeatCounts.put(program, new RepeatCount(requestDigest, count));
    }

    synchronized void setSession(ProgramSession session) {
        mSession = Optional.of(session);
    }

    // Accessors

    ProgramKey key() {
        return mKey;
    }

    /** Returns the lock that must be held while the program is created or adopted. */
    ReentrantLock openLock() {
        return mOpenLock;
    }

    /** Returns the session; empty if the program is not open or its session has become unusable. */
    synchronized Optional<ProgramSession> session() {
        return mSession.filter(ProgramSession::isUsable);
    }

    synchronized boolean isIdle() {
        return mRunningPrograms.isEmpty() && !mOpenLock.isLocked();
    }

    synchronized Set<String> runningPrograms() {
        return Set.copyOf(mRunningPrograms);
    }
}
