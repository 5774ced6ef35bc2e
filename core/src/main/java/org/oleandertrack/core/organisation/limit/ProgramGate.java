package org.oleandertrack.core.organisation.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.organisation.RequestLimit;

/**
 * Decides whether an organisation may start a further program. A program whose later requests are
 * refused has wasted the work already spent on it, so no more programs are started than the limit
 * can complete. Learns the mean number of requests per program. Not thread-safe.
 */
final class ProgramGate {

    /** Length of the window in which programs are counted. */
    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    // An admitted program takes about 100 bytes; the largest organisations start about 40 programs
    // per second, 2,400 within the retention time.
    private static final int MAX_PROGRAMS = 4_096;
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    // A program that has sent nothing for this time is counted as complete. Its next requests are
    // still admitted.
    private static final long COMPLETE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double MIN_LEARNING_STEP = 0.02;
    // Before any request was refused, the programs may exceed the limit by this factor: they may
    // send their requests over a longer time than the window.
    private static final double UNCONTENDED_FACTOR = 2;
    private static final double UNCONTENDED_REQUESTS = 20;
    // Leaves tokens for programs that are longer than the mean.
    private static final double RATE_FACTOR = 0.95;
    // Programs start at random times, several of them together. The count of the window bounds a
    // longer burst.
    private static final double BURST_SECONDS = 1.5;
    // Part of the bucket that is kept for admitted programs while requests are refused.
    private static final double RESERVE = 0.2;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, Program> mPrograms = new LinkedHashMap<>(16, 0.75f, true);
    private final AdmittedPrograms mLatest = new AdmittedPrograms();
    private final WindowCount mAdmitted = new WindowCount(WINDOW_NANOS);
    private final TokenBucket mStarts;
    private double mLearnedRequests = 1;
    private int mLearnedPrograms;
    private long mRequests;
    private boolean mContended;
    private long mContendedUntilNanos;
    private long mSweptNanos;

    ProgramGate(long nowNanos) {
        mStarts = new TokenBucket(1, 1, nowNanos);
        mSweptNanos = nowNanos;
    }

    // Accessors

    boolean isAdmitted(long program) {
        return mPrograms.containsKey(program);
    }

    /** Returns the mean number of requests per program; 1 before any was learned. */
    double requestsPerProgram() {
        // The programs under way have sent a part of their requests, so their mean is a lower
        // bound, which is known sooner.
        double lowerBound = mPrograms.isEmpty() ? 1 : (double) mRequests / mPrograms.size();
        return Math.max(mLearnedRequests, lowerBound);
    }

    /** Returns whether requests were refused within the last window. */
    boolean isContended(long nowNanos) {
        mContended = mContended && mContendedUntilNanos - nowNanos > 0;
        return mContended;
    }

    /** Returns the number of tokens that only requests of admitted programs may take. */
    double reserve(double capacity, long nowNanos) {
        return isContended(nowNanos) && !mPrograms.isEmpty() ? RESERVE * capacity : 0;
    }

    /** Returns whether a further program may start. */
    boolean mayStart(RequestLimit limit, long nowNanos) {
        sweep(nowNanos);
        double requests = requestsPerProgram();
        double admittedRequests = requests * mAdmitted.total(nowNanos);
        double windowRequests =
                limit.requestsPerSecond() * WINDOW_NANOS / NANOS_PER_SECOND + limit.burst();
        if (!isContended(nowNanos)) {
            return admittedRequests <= UNCONTENDED_FACTOR * windowRequests + UNCONTENDED_REQUESTS;
        }
        double startsPerSecond = RATE_FACTOR * limit.requestsPerSecond() / requests;
        mStarts.configure(startsPerSecond, Math.max(1, BURST_SECONDS * startsPerSecond), nowNanos);
        return admittedRequests <= windowRequests && mStarts.waitNanos(0, nowNanos) == 0;
    }

    /** Returns the programs that were admitted after the given number of them. */
    IssueResult.Programs admittedSince(long known) {
        return mLatest.since(known);
    }

    /** Returns the mean time between two programs that may start. */
    long startIntervalNanos(RequestLimit limit) {
        return (long) (requestsPerProgram() / limit.requestsPerSecond() * NANOS_PER_SECOND);
    }

    // Operations

    /**
     * Records a request of a program that got a permit; its first one admits the program.
     *
     * @param admittedElsewhere whether the program is known to have been admitted by another issuer
     */
    void recordGranted(long program, boolean admittedElsewhere, long nowNanos) {
        Program known = mPrograms.get(program);
        if (known == null) {
            makeRoom(nowNanos);
            known = new Program();
            mPrograms.put(program, known);
            mLatest.add(program);
            if (!admittedElsewhere) {
                mAdmitted.add(nowNanos);
                mStarts.tryTake(0, nowNanos);
            }
        }
        known.mRequests++;
        known.mLastNanos = nowNanos;
        mRequests++;
    }

    /** Records a request that found no permit. */
    void recordDenied(long program, long nowNanos) {
        Program known = mPrograms.get(program);
        if (known != null) {
            known.mDenied = true;
        }
        extendContention(nowNanos);
    }

    /** Records that requests are still refused while few permits are left. */
    void extendContention(long nowNanos) {
        mContended = true;
        mContendedUntilNanos = nowNanos + WINDOW_NANOS;
    }

    /** Forgets programs that have ended, and learns from them. */
    void sweep(long nowNanos) {
        if (nowNanos - mSweptNanos < SWEEP_INTERVAL_NANOS) {
            return;
        }
        mSweptNanos = nowNanos;
        // Least recently used programs come first.
        Iterator<Program> programs = mPrograms.values().iterator();
        while (programs.hasNext()) {
            Program program = programs.next();
            long idleNanos = nowNanos - program.mLastNanos;
            if (idleNanos <= COMPLETE_AFTER_NANOS) {
                return;
            }
            learn(program);
            if (idleNanos > RETENTION_NANOS) {
                mRequests -= program.mRequests;
                programs.remove();
            }
        }
    }

    // Helpers

    private void makeRoom(long nowNanos) {
        sweep(nowNanos);
        if (mPrograms.size() >= MAX_PROGRAMS) {
            Iterator<Program> programs = mPrograms.values().iterator();
            mRequests -= programs.next().mRequests;
            programs.remove();
        }
    }

    private void learn(Program program) {
        // A program whose requests were refused may have been given up, so its number of requests
        // says nothing unless it is above the mean.
        boolean truncated = program.mDenied && program.mRequests < mLearnedRequests;
        if (program.mLearned || truncated) {
            return;
        }
        program.mLearned = true;
        mLearnedPrograms++;
        double step = Math.max(MIN_LEARNING_STEP, 1.0 / mLearnedPrograms);
        mLearnedRequests += step * (program.mRequests - mLearnedRequests);
    }

    /** An admitted program. */
    private static final class Program {
        private int mRequests;
        private long mLastNanos;
        private boolean mDenied;
        private boolean mLearned;
    }
}
