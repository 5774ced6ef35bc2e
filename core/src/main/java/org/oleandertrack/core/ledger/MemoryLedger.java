package org.oleandertrack.core.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Tracks which owners hold prefix tokens in the engine's memory and which of them are to be
 * released. An owner is a program of an organisation, {@code organisation/program}. The id of a
 * sub-agent is the id of its root followed by a slash and a suffix.
 *
 * <p>The ledger is updated by the calls that pass through this process and by the engine's cache
 * events, which arrive late and may be lost. An owner that has ended stays in the ledger until the
 * engine has confirmed a release that was sent at least the settling time after the owner's last
 * activity, and two subsequent reads of the events contain neither stored tokens of the owner nor a
 * gap.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe: the user of an instance guards it
 * with a lock.
 */
public final class MemoryLedger {

    private final LedgerConfig mConfig;

    /** Records by owner, least recently used first. */
    private final LinkedHashMap<String, OwnerRecord> mOwners = new LinkedHashMap<>();

    /**
     * Owners that ended, oldest first, and whether they have made a call since. They are kept after
     * their release because events arrive late.
     */
    private final LinkedHashMap<String, Boolean> mCalledSinceEnd = new LinkedHashMap<>();

    private long mMaxTokensPerOwner = Long.MAX_VALUE;
    private long mLastSequence;
    private long mLastReleaseId;
    private long mDroppedOwners;

    public MemoryLedger(LedgerConfig config) {
        mConfig = config;
    }

    // Accessors

    /** Returns the number of tokens that all owners hold together, as far as the ledger knows. */
    public long heldTokens() {
        return mOwners.values().stream().mapToLong(OwnerRecord::heldTokens).sum();
    }

    /** Returns the number of owners in the ledger, including those whose release is pending. */
    public int owners() {
        return mOwners.size();
    }

    /**
     * Returns the number of owners that were removed before their release because the ledger was
     * full.
     */
    public long droppedOwners() {
        return mDroppedOwners;
    }

    /** Returns the sequence number of the last event read; 0 before the first one. */
    public long lastSequence() {
        return mLastSequence;
    }

    // Operations

    /**
     * Sets the number of held tokens above which an owner is released when it has no call in
     * progress.
     */
    public void setMaxTokensPerOwner(long maxTokensPerOwner) {
        mMaxTokensPerOwner = maxTokensPerOwner;
    }

    /**
     * Records the start of a call of an owner. The owner is not released before the call has ended.
     */
    public void recordCallStart(String owner, long nowNanos) {
        OwnerRecord record = touch(owner, nowNanos);
        record.mCallsInProgress++;
        // If the program had ended, it has either been continued or this call was delayed; the
        // shorter idle time covers both cases.
        boolean hadEnded = mCalledSinceEnd.replace(owner, true) != null;
        if (record.isReleasing() || hadEnded) {
            record.reactivate(idleNanos(owner));
        }
        limitOwners(nowNanos);
    }

    /**
     * Records the end of a call.
     *
     * @param tokens prompt and completion tokens of the call; 0 if not known
     */
    public void recordCallEnd(String owner, long tokens, long nowNanos) {
        OwnerRecord record = touch(owner, nowNanos);
        record.mCallsInProgress = Math.max(0, record.mCallsInProgress - 1);
        record.addUsage(tokens);
        if (record.isReleasing() || isEndedWithoutCall(owner)) {
            record.requestRelease(ReleaseReason.ENDED, nowNanos);
        }
    }

    /**
     * Releases an owner and all its sub-agents, immediately or when their calls in progress have
     * ended. Tokens that the engine stores for them later are released too, unless they start
     * another call.
     */
    public void end(String owner, ReleaseReason reason, long nowNanos) {
        mCalledSinceEnd.remove(owner);
        mCalledSinceEnd.put(owner, false);
        if (mCalledSinceEnd.size() > mConfig.maxOwners()) {
            mCalledSinceEnd.pollFirstEntry();
        }
        // An owner unknown to this process may hold memory from before the process started.
        touch(owner, nowNanos);
        String subAgents = owner + "/";
        for (OwnerRecord record : mOwners.values()) {
            if (record.mOwner.equals(owner) || record.mOwner.startsWith(subAgents)) {
                record.mLastActivityNanos = nowNanos;
                record.requestRelease(reason, nowNanos);
            }
        }
        limitOwners(nowNanos);
    }

    /**
     * Applies the events that the engine returned for a read after {@link #lastSequence}.
     *
     * @return the number of events that are missing
     */
    public long applyEvents(List<CacheEvent> events, long nowNanos) {
        long missing = 0;
        for (CacheEvent event : sorted(events)) {
            if (event.sequence() <= mLastSequence) {
                continue;
            }
            missing += event.sequence() - mLastSequence - 1;
            mLastSequence = event.sequence();
            apply(event, nowNanos);
        }
        if (missing > 0) {
            mOwners.values().forEach(record -> record.repeatAfterEventLoss(mConfig, nowNanos));
        }
        mOwners.values().removeIf(OwnerRecord::countReadAndCheckRemovable);
        limitOwners(nowNanos);
        return missing;
    }

    /**
     * Returns the releases to send now and marks them as sent. Each must be followed by {@link
     * #confirmRelease} or {@link #recordReleaseFailure}.
     *
     * @param limit largest number of releases
     */
    public List<Release> takeDue(int limit, long nowNanos) {
        List<Release> due = new ArrayList<>();
        for (OwnerRecord record : mOwners.values()) {
            if (due.size() >= limit) {
                break;
            }
            requestReleaseIfNeeded(record, nowNanos);
            if (record.isDue(nowNanos)) {
                due.add(record.startRelease(++mLastReleaseId, nowNanos));
            }
        }
        return due;
    }

    /** Records that the engine has carried out a release. */
    public void confirmRelease(Release release, long nowNanos) {
        find(release).ifPresent(record -> record.confirmRelease(release.id(), mConfig, nowNanos));
    }

    /** Records that a release failed or that its outcome is unknown. */
    public void recordReleaseFailure(Release release, long nowNanos) {
        find(release).ifPresent(record -> record.recordFailure(release.id(), mConfig, nowNanos));
    }

    // Helpers

    private Optional<OwnerRecord> find(Release release) {
        return Optional.ofNullable(mOwners.get(release.owner()));
    }

    private static List<CacheEvent> sorted(List<CacheEvent> events) {
        return events.stream().sorted(Comparator.comparingLong(CacheEvent::sequence)).toList();
    }

    private void apply(CacheEvent event, long nowNanos) {
        OwnerRecord known = mOwners.get(event.owner());
        if (event.kind() == CacheEvent.Kind.EVICTED) {
            if (known != null) {
                known.subtractEvicted(event.tokens());
            }
            return;
        }
        OwnerRecord record = touch(event.owner(), nowNanos);
        record.addStored(event.tokens(), nowNanos);
        if (!record.isReleasing()
                && record.mCallsInProgress == 0
                && isEndedWithoutCall(event.owner())) {
            record.requestRelease(ReleaseReason.STORED_AFTER_END, nowNanos);
        }
    }

    private void requestReleaseIfNeeded(OwnerRecord record, long nowNanos) {
        if (record.isReleasing() || record.mCallsInProgress > 0) {
            return;
        }
        if (record.isIdle(nowNanos)) {
            record.requestRelease(ReleaseReason.IDLE, nowNanos);
        } else if (record.heldTokens() > mMaxTokensPerOwner) {
            record.requestRelease(ReleaseReason.SHARE, nowNanos);
        }
    }

    /**
     * Returns whether the owner, or a program of which it is a sub-agent, has ended and made no
     * call since.
     */
    private boolean isEndedWithoutCall(String owner) {
        return withAncestors(owner)
                .anyMatch(id -> mCalledSinceEnd.getOrDefault(id, true).equals(false));
    }

    private long idleNanos(String owner) {
        boolean hasEnded = withAncestors(owner).anyMatch(mCalledSinceEnd::containsKey);
        return hasEnded ? mConfig.idleAfterEndNanos() : mConfig.idleNanos();
    }

    /** Returns the owner and all programs of which it is a direct or indirect sub-agent. */
    private static Stream<String> withAncestors(String owner) {
        return IntStream.iterate(
                        owner.length(), end -> end > 0, end -> owner.lastIndexOf('/', end - 1))
                .mapToObj(end -> owner.substring(0, end));
    }

    /**
     * Returns the record of an owner, creating it if necessary, and marks it as the most recently
     * used.
     */
    private OwnerRecord touch(String owner, long nowNanos) {
        OwnerRecord record = mOwners.remove(owner);
        if (record == null) {
            record = new OwnerRecord(owner, idleNanos(owner), nowNanos);
        }
        record.mLastActivityNanos = nowNanos;
        mOwners.put(owner, record);
        return record;
    }

    /**
     * Requests the release of the least recently used owner if there are too many owners, and
     * removes records while there are more than twice the allowed number.
     */
    private void limitOwners(long nowNanos) {
        if (mOwners.size() <= mConfig.maxOwners()) {
            return;
        }
        for (OwnerRecord record : mOwners.values()) {
            if (!record.isReleasing() && record.mCallsInProgress == 0) {
                record.requestRelease(ReleaseReason.OWNER_LIMIT, nowNanos);
                break;
            }
        }
        boolean removed = true;
        while (removed && mOwners.size() > 2L * mConfig.maxOwners()) {
            removed = removeOne();
        }
    }

    /**
     * Removes an owner without calls in progress, preferably one with a confirmed release; returns
     * false if there is none.
     */
    private boolean removeOne() {
        OwnerRecord oldest = null;
        for (OwnerRecord record : mOwners.values()) {
            if (record.mCallsInProgress > 0) {
                continue;
            }
            if (record.confirmations() > 0) {
                mOwners.remove(record.mOwner);
                return true;
            }
            oldest = oldest == null ? record : oldest;
        }
        if (oldest == null) {
            return false;
        }
        mOwners.remove(oldest.mOwner);
        mDroppedOwners++;
        return true;
    }
}
