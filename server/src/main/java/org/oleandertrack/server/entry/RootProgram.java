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

/** A root program with its sub-agents, as this holder runs it. Thread safe. */
final class RootProgram {

    private static final long RETRY_AFTER_MILLIS = 200;

    private final ProgramKey mKey;

    /** Held while the program is created or adopted, so that this happens once. */
    private final ReentrantLock mOpening = new ReentrantLock();

    private final Set<String> mRunning = new HashSet<>();
    private final Map<String, RepeatCount> mRepeats = new HashMap<>();
    private Optional<ProgramSession> mSession = Optional.empty();

    RootProgram(ProgramKey key) {
        mKey = key;
    }

    /** How often the same request was seen in a row. */
    private record RepeatCount(String requestDigest, int count) {}

    // Operations

    /** Marks a program or sub-agent as running a turn; only one turn runs at a time. */
    synchronized void begin(String program) {
        if (!mRunning.add(program)) {
            throw new ResultException(
                            ResultCode.TURN_IN_PROGRESS,
                            "another turn of program " + program + " is running")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
    }

    synchronized void finish(String program) {
        mRunning.remove(program);
    }

    /** Returns how often in a row the program has committed a turn with this request. */
    synchronized int repeats(String program, String requestDigest) {
        RepeatCount count = mRepeats.get(program);
        return count != null && count.requestDigest().equals(requestDigest) ? count.count() : 0;
    }

    /** Counts a committed turn. */
    synchronized void committed(String program, String requestDigest) {
        int count = repeats(program, requestDigest) + 1;
        mRepeats.put(program, new RepeatCount(requestDigest, count));
    }

    synchronized void opened(ProgramSession session) {
        mSession = Optional.of(session);
    }

    // Accessors

    ProgramKey key() {
        return mKey;
    }

    ReentrantLock opening() {
        return mOpening;
    }

    /** Returns the session, if the program is open and the session still usable. */
    synchronized Optional<ProgramSession> session() {
        return mSession.filter(ProgramSession::isUsable);
    }

    synchronized boolean isIdle() {
        return mRunning.isEmpty() && !mOpening.isLocked();
    }

    synchronized Set<String> running() {
        return Set.copyOf(mRunning);
    }
}
