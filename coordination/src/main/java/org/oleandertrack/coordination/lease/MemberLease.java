package org.oleandertrack.coordination.lease;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.commit.CommitResult;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.tinylog.Logger;

/**
 * This node's lease, kept in the row {@code member/{node}} and renewed by conditional writes.
 *
 * <p>The duration of the lease is measured on this process's monotonic clock, starting before the
 * renewal is sent. If another node closes the row, the next renewal fails and this node continues
 * under a new incarnation. A row left by an earlier process of the same node is taken over only
 * after it has stayed unchanged for a whole lease, which is also the rule for closing the lease of
 * another node.
 *
 * <p>Thread safe. Listeners are called without locks held.
 */
public final class MemberLease {

    private enum NextStep {
        READ,
        WRITE,
        END
    }

    private final String mNode;
    private final TableStore mTable;
    private final GroupCommit mCommit;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final WriteIds mWriteIds;
    private final LeaseSettings mSettings;
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();

    private final Object mLock = new Object();
    private final UnchangedWatch mPredecessorWatch = new UnchangedWatch();
    private final CompletableFuture<Void> mLeavingWritten = new CompletableFuture<>();
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private MemberState mWantedState = MemberState.OPEN;
    private Scheduler.Timer mNextStepTimer = () -> {};
    private Scheduler.Timer mExpiryTimer = () -> {};
    private boolean mStarted;
    private boolean mStepRunning;
    private boolean mStepRequested;
    private boolean mMustRead = true;
    private boolean mRegistered;
    private long mVersion;
    private long mIncarnation;
    private long mWriteCounter;
    private long mLeaseEndNanos;

    /**
     * Creates a lease that is not valid yet.
     *
     * @param node id of this node, unique among running processes
     * @param table used for reads; must end every request in limited time, see {@code
     *     TimeLimitedTableStore}
     */
    public MemberLease(
            String node,
            TableStore table,
            GroupCommit commit,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random,
            LeaseSettings settings) {
        mNode = node;
        mTable = table;
        mCommit = commit;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        mWriteIds = new WriteIds(random);
        mSettings = settings;
        mIncarnation = newIncarnation();
        mLeaseEndNanos = nanoClock.getAsLong();
    }

    // Life-cycle.

    /** Registers the node and starts renewals. */
    public void start() {
        synchronized (mLock) {
            mStarted = true;
        }
        step();
    }

    /**
     * Marks the node as leaving, so that no further shards are assigned to it. The lease is still
     * renewed. The future completes when the mark is stored.
     */
    public CompletableFuture<Void> markLeaving() {
        requestState(MemberState.LEAVING);
        return mLeavingWritten;
    }

    /**
     * Ends the lease at once and closes the row. The future completes when the row is closed, or
     * after a renewal interval if the store has not confirmed it; for the other nodes the lease
     * then ends when it expires.
     */
    public CompletableFuture<Void> stop() {
        synchronized (mLock) {
            mLeaseEndNanos = mNanoClock.getAsLong();
            mExpiryTimer.cancel();
        }
        notifyListeners();
        var _ = mScheduler.schedule(mSettings.renewNanos(), () -> mClosed.complete(null));
        requestState(MemberState.CLOSED);
        return mClosed;
    }

    // Accessors.

    /** Returns this node's id. */
    public String node() {
        return mNode;
    }

    /** Returns the random number of the current incarnation; it changes after a lease is closed. */
    public long incarnation() {
        synchronized (mLock) {
            return mIncarnation;
        }
    }

    /** Returns the nano clock reading at which the lease ends unless it is renewed. */
    public long leaseEndNanos() {
        synchronized (mLock) {
            return mLeaseEndNanos;
        }
    }

    /** Returns whether the lease has not ended yet. */
    public boolean isValid() {
        synchronized (mLock) {
            return mNanoClock.getAsLong() - mLeaseEndNanos < 0;
        }
    }

    /** Returns whether an incarnation is the current one and its lease has not ended yet. */
    public boolean isValid(long incarnation) {
        synchronized (mLock) {
            return incarnation == mIncarnation && mNanoClock.getAsLong() - mLeaseEndNanos < 0;
        }
    }

    /**
     * Adds a listener that is called whenever the lease becomes valid, ends, or continues under a
     * new incarnation.
     */
    public void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    // Helpers.

    /**
     * Sets the state to be written to the row. A state that precedes the one already set is
     * ignored.
     */
    private void requestState(MemberState state) {
        synchronized (mLock) {
            if (mWantedState.compareTo(state) < 0) {
                mWantedState = state;
            }
        }
        step();
    }

    /** Sends one request, unless one is in flight; its reply schedules the next step. */
    private void step() {
        boolean read;
        synchronized (mLock) {
            if (!mStarted || mClosed.isDone()) {
                return;
            }
            if (mStepRunning) {
                mStepRequested = true;
                return;
            }
            mNextStepTimer.cancel();
            mStepRunning = true;
            read = mMustRead;
        }
        if (read) {
            read();
        } else {
            write();
        }
    }

    private void scheduleStep(long delayNanos) {
        synchronized (mLock) {
            mStepRunning = false;
            long actualDelayNanos = mStepRequested ? 0 : delayNanos;
            mStepRequested = false;
            mNextStepTimer = mScheduler.schedule(actualDelayNanos, this::step);
        }
    }

    private void read() {
        long sentNanos = mNanoClock.getAsLong();
        var _ =
                mTable.get(MemberRow.key(mNode))
                        .whenComplete(
                                (row, failure) -> {
                                    if (failure != null || !isReadable(row)) {
                                        onReadFailed();
                                    } else {
                                        onRead(sentNanos, row);
                                    }
                                });
    }

    private boolean isReadable(Optional<Row> row) {
        try {
            var _ = row.map(found -> RowJson.decode(found, MemberRow.class));
            return true;
        } catch (IllegalStateException e) {
            Logger.error(e, "member row of node {} is malformed; reading it again", mNode);
            return false;
        }
    }

    private void onReadFailed() {
        synchronized (mLock) {
            mPredecessorWatch.onRequestFailed();
        }
        scheduleStep(backoffNanos());
    }

    private void onRead(long sentNanos, Optional<Row> row) {
        Optional<MemberRow> value = row.map(found -> RowJson.decode(found, MemberRow.class));
        boolean isLost;
        NextStep next;
        synchronized (mLock) {
            mVersion = row.map(Row::version).orElse(0L);
            boolean isOwn = value.isPresent() && value.get().incarnation() == mIncarnation;
            boolean isFree = value.isEmpty() || value.get().state() == MemberState.CLOSED;
            isLost = (mRegistered && !isOwn) || (isOwn && isFree);
            if (isLost) {
                mRegistered = false;
                mIncarnation = newIncarnation();
                mLeaseEndNanos = mNanoClock.getAsLong();
                mExpiryTimer.cancel();
            }
            if (isOwn && !isFree) {
                next = NextStep.WRITE;
            } else if (mWantedState == MemberState.CLOSED) {
                next = NextStep.END;
            } else if (isFree) {
                next = NextStep.WRITE;
            } else {
                long now = mNanoClock.getAsLong();
                mPredecessorWatch.onAnswer(mVersion, sentNanos, now, mSettings.leaseNanos() / 3);
                boolean expired = mPredecessorWatch.hasLeaseExpired(value.get().leaseMillis());
                next = expired ? NextStep.WRITE : NextStep.READ;
            }
            mMustRead = next == NextStep.READ;
        }
        if (isLost) {
            Logger.warn("lease of node {} was closed by another node", mNode);
            notifyListeners();
        }
        if (next == NextStep.END) {
            mClosed.complete(null);
            return;
        }
        scheduleStep(next == NextStep.WRITE ? 0 : mSettings.renewNanos() / 4);
    }

    private void write() {
        long sentNanos = mNanoClock.getAsLong();
        MemberState state;
        ConditionalWrite write;
        synchronized (mLock) {
            state = mWantedState;
            MemberRow value =
                    new MemberRow(
                            mIncarnation,
                            ++mWriteCounter,
                            mSettings.leaseNanos() / 1_000_000,
                            state,
                            mWriteIds.next());
            write =
                    new ConditionalWrite(
                            MemberRow.key(mNode), mVersion, Optional.of(RowJson.encode(value)));
        }
        var _ =
                mCommit.submit(List.of(write), sentNanos + mSettings.renewNanos())
                        .whenComplete((result, failure) -> onWritten(sentNanos, state, result));
    }

    /** Handles the reply to a write; the result is null if the store did not confirm the write. */
    private void onWritten(long sentNanos, MemberState state, CommitResult result) {
        if (result == null) {
            synchronized (mLock) {
                mMustRead = true;
            }
            scheduleStep(backoffNanos());
            return;
        }
        if (!(result.outcomes().getFirst() instanceof WriteOutcome.Applied applied)) {
            synchronized (mLock) {
                mMustRead = true;
            }
            scheduleStep(0);
            return;
        }
        boolean becameValid;
        synchronized (mLock) {
            mVersion = applied.version();
            mRegistered = state != MemberState.CLOSED;
            becameValid =
                    mRegistered && mWantedState != MemberState.CLOSED && extendLease(sentNanos);
        }
        if (state == MemberState.CLOSED) {
            mClosed.complete(null);
            return;
        }
        if (becameValid) {
            notifyListeners();
        }
        if (state == MemberState.LEAVING) {
            mLeavingWritten.complete(null);
        }
        scheduleStep(mSettings.renewNanos() - (mNanoClock.getAsLong() - sentNanos));
    }

    /**
     * Extends the lease, measured from before the renewal was sent.
     *
     * @return whether the lease was not valid before and is valid now
     */
    private boolean extendLease(long sentNanos) {
        long now = mNanoClock.getAsLong();
        boolean wasValid = now - mLeaseEndNanos < 0;
        mLeaseEndNanos = sentNanos + mSettings.leaseNanos();
        mExpiryTimer.cancel();
        mExpiryTimer = mScheduler.schedule(mLeaseEndNanos - now, this::notifyListeners);
        return !wasValid && now - mLeaseEndNanos < 0;
    }

    private void notifyListeners() {
        mListeners.forEach(Runnable::run);
    }

    private long backoffNanos() {
        return mRandom.nextLong(mSettings.renewNanos() / 8) + 1;
    }

    // Never 0, which means "no incarnation" in the rows of released shards.
    private long newIncarnation() {
        return mRandom.nextLong(1, Long.MAX_VALUE);
    }
}
