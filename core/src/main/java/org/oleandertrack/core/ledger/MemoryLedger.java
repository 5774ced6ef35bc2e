package org.oleandertrack.core.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Keeps which owners hold prefix tokens in the engine and which of them are to be freed. An owner
 * is an organisation and a program, {@code organisation/program}; the id of a sub-agent starts with
 * its root's id and a slash.
 *
 * <p>The ledger learns from the calls that pass through this process and from the engine's cache
 * events, which come late and may be lost. An owner that has ended stays in the ledger until a
 * release sent after its last activity had settled is confirmed, and two reads of the events after
 * that show neither a store nor a gap.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe: the user guards each instance
 * with its own lock.
 */
public final class MemoryLedger {

    private final LedgerConfig mConfig;

    /** In the order of their last use. */
    private final LinkedHashMap<String, OwnerRecord> mOwners = new LinkedHashMap<>();

    /**
     * Owners that ended, oldest first, and whether they made a call after their end. They are kept
     * after their release because events come late.
     */
    private final LinkedHashMap<String, Boolean> mEnded = new LinkedHashMap<>();

    private long mShareTokens = Long.MAX_VALUE;
    private long mLastSequence;
    private long mLastReleaseId;
    private long mDroppedOwners;

    public MemoryLedger(LedgerConfig config) {
        mConfig = config;
    }

    // Accessors

    /** Returns the tokens that the owners together hold, as far as the ledger knows. */
    public long heldTokens() {
        return mOwners.values().stream().mapToLong(OwnerRecord::heldTokens).sum();
    }

    /** Returns the number of owners in the ledger, including those that wait for a release. */
    public int owners() {
        return mOwners.size();
    }

    /** Returns the number of owners that were to be freed but were dropped for lack of room. */
    public long droppedOwners() {
        return mDroppedOwners;
    }

    /** Returns the sequence number of the last event seen, 0 before the first one. */
    public long lastSequence() {
        return mLastSequence;
    }

    // Operations

    /** Sets the tokens above which an owner is freed after its calls. */
    public void setShareTokens(long shareTokens) {
        mShareTokens = shareTokens;
    }

    /** Takes note that a call of an owner starts; the owner is not freed before it ends. */
    public void callStarted(String owner, long nowNanos) {
        OwnerRecord owned = touch(owner, nowNanos);
        owned.mCallsUnderWay++;
        // After an end, the program goes on or the call is a late one; the shorter idle time
        // covers both.
        boolean wasEnded = mEnded.replace(owner, true) != null;
        if (owned.isReleasing() || wasEnded) {
            owned.reactivate(idleNanos(owner));
        }
        limitOwners(nowNanos);
    }

    /**
     * Takes note that a call that was started has ended.
     *
     * @param tokens prompt and completion tokens of the call, 0 if not known
     */
    public void callEnded(String owner, long tokens, long nowNanos) {
        OwnerRecord owned = touch(owner, nowNanos);
        owned.mCallsUnderWay = Math.max(0, owned.mCallsUnderWay - 1);
        owned.addUsage(tokens);
        if (owned.isReleasing() || isEnded(owner)) {
            owned.request(ReleaseReason.ENDED, nowNanos);
        }
    }

    /**
     * Frees an owner and all its sub-agents, now or when their calls under way have ended. What
     * they store later is freed as well, unless they start another call.
     */
    public void end(String owner, ReleaseReason reason, long nowNanos) {
        mEnded.remove(owner);
        mEnded.put(owner, false);
        if (mEnded.size() > mConfig.maxOwners()) {
            mEnded.pollFirstEntry();
        }
        // An owner that this process never saw may hold memory from before its start.
        touch(owner, nowNanos);
        String subAgents = owner + "/";
        for (OwnerRecord owned : mOwners.values()) {
            if (owned.mOwner.equals(owner) || owned.mOwner.startsWith(subAgents)) {
                owned.mActivityNanos = nowNanos;
                owned.request(reason, nowNanos);
            }
        }
        limitOwners(nowNanos);
    }

    /**
     * Takes the answer to a request for the events after {@link #lastSequence}.
     *
     * @return the number of events that are missing
     */
    public long eventsRead(List<CacheEvent> events, long nowNanos) {
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
            mOwners.values().forEach(owned -> owned.eventsLost(mConfig, nowNanos));
        }
        mOwners.values().removeIf(OwnerRecord::isDoneAfterRead);
        limitOwners(nowNanos);
        return missing;
    }

    /**
     * Returns the releases to send now. Each must be answered with {@link #releaseConfirmed} or
     * {@link #releaseFailed}.
     */
    public List<Release> takeDue(int limit, long nowNanos) {
        List<Release> due = new ArrayList<>();
        for (OwnerRecord owned : mOwners.values()) {
            if (due.size() >= limit) {
                break;
            }
            expire(owned, nowNanos);
            if (owned.isDue(nowNanos)) {
                due.add(owned.send(++mLastReleaseId, nowNanos));
            }
        }
        return due;
    }

    /** Takes note that the engine has carried out a release. */
    public void releaseConfirmed(Release release, long nowNanos) {
        find(release).ifPresent(owned -> owned.confirmed(release.id(), mConfig, nowNanos));
    }

    /** Takes note that it is not known whether the engine has carried out a release. */
    public void releaseFailed(Release release, long nowNanos) {
        find(release).ifPresent(owned -> owned.failed(release.id(), mConfig, nowNanos));
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
                known.evicted(event.tokens());
            }
            return;
        }
        OwnerRecord owned = touch(event.owner(), nowNanos);
        owned.stored(event.tokens(), nowNanos);
        if (!owned.isReleasing() && owned.mCallsUnderWay == 0 && isEnded(event.owner())) {
            owned.request(ReleaseReason.STORED_AFTER_END, nowNanos);
        }
    }

    private void expire(OwnerRecord owned, long nowNanos) {
        if (owned.isReleasing() || owned.mCallsUnderWay > 0) {
            return;
        }
        if (owned.isIdle(nowNanos)) {
            owned.request(ReleaseReason.IDLE, nowNanos);
        } else if (owned.heldTokens() > mShareTokens) {
            owned.request(ReleaseReason.SHARE, nowNanos);
        }
    }

    /** Returns whether the owner or a root of it ended and made no call since. */
    private boolean isEnded(String owner) {
        return withRoots(owner).anyMatch(id -> mEnded.getOrDefault(id, true).equals(false));
    }

    private long idleNanos(String owner) {
        boolean late = withRoots(owner).anyMatch(mEnded::containsKey);
        return late ? mConfig.lateIdleNanos() : mConfig.idleNanos();
    }

    /** Returns the owner and what it is a sub-agent of. */
    private static Stream<String> withRoots(String owner) {
        return IntStream.iterate(
                        owner.length(), end -> end > 0, end -> owner.lastIndexOf('/', end - 1))
                .mapToObj(end -> owner.substring(0, end));
    }

    /** Returns the record of an owner as the one used last. */
    private OwnerRecord touch(String owner, long nowNanos) {
        OwnerRecord owned = mOwners.remove(owner);
        if (owned == null) {
            owned = new OwnerRecord(owner, idleNanos(owner), nowNanos);
        }
        owned.mActivityNanos = nowNanos;
        mOwners.put(owner, owned);
        return owned;
    }

    /** Frees the owner unused for longest if there are too many, and drops one at twice that. */
    private void limitOwners(long nowNanos) {
        if (mOwners.size() <= mConfig.maxOwners()) {
            return;
        }
        for (OwnerRecord owned : mOwners.values()) {
            if (!owned.isReleasing() && owned.mCallsUnderWay == 0) {
                owned.request(ReleaseReason.OWNER_LIMIT, nowNanos);
                break;
            }
        }
        boolean dropped = true;
        while (dropped && mOwners.size() > 2L * mConfig.maxOwners()) {
            dropped = dropOne();
        }
    }

    /** Drops an owner without calls, preferably one with a confirmed release. */
    private boolean dropOne() {
        OwnerRecord oldest = null;
        for (OwnerRecord owned : mOwners.values()) {
            if (owned.mCallsUnderWay > 0) {
                continue;
            }
            if (owned.confirmations() > 0) {
                mOwners.remove(owned.mOwner);
                return true;
            }
            oldest = oldest == null ? owned : oldest;
        }
        if (oldest == null) {
            return false;
        }
        mOwners.remove(oldest.mOwner);
        mDroppedOwners++;
        return true;
    }
}
