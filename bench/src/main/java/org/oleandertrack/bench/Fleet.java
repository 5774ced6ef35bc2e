package org.oleandertrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.oleandertrack.core.queue.AttainedService;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;

/**
 * A simulated deployment: targets, and the dispatcher that sends calls to them, which follows
 * either the policies of the product or a simple baseline.
 */
final class Fleet {

    private static final int ENTRY_HOSTS = 3;
    private static final int MAX_BASELINE_ATTEMPTS = 4;
    private static final int MAX_PROGRAMS = 100_000;

    final VirtualClock mClock = new VirtualClock();
    final List<Target> mTargets = new ArrayList<>();
    final AttainedService mAttainedService = new AttainedService(MAX_PROGRAMS);
    private final List<EntryHost> mEntryHosts = new ArrayList<>();
    private RoundRobinDispatcher mRoundRobin;

    private Fleet() {}

    /** Creates targets with first-come-first-served queues, which are called in rotation. */
    static Fleet baseline(int targets, int slots, long memoryTokens) {
        return baseline(targets, slots, memoryTokens, false);
    }

    /**
     * Creates targets like {@link #baseline(int, int, long)}, but with queues that drop calls whose
     * callers have stopped waiting.
     */
    static Fleet baselineDropping(int targets, int slots, long memoryTokens) {
        return baseline(targets, slots, memoryTokens, true);
    }

    private static Fleet baseline(int targets, int slots, long memoryTokens, boolean dropsExpired) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < targets; i++) {
            fleet.mTargets.add(new FifoTarget(fleet.mClock, slots, memoryTokens, dropsExpired));
        }
        fleet.mRoundRobin =
                new RoundRobinDispatcher(
                        fleet.mClock,
                        fleet.mTargets,
                        fleet.mAttainedService,
                        MAX_BASELINE_ATTEMPTS);
        return fleet;
    }

    /**
     * Creates targets with the product's queue, and entry hosts that apply the product's policies.
     *
     * @param hedgingEnabled whether entry hosts send a second attempt for calls that take long
     * @param untilNanos time until which the entry hosts receive load reports
     */
    static Fleet withProductPolicies(
            int targets,
            int slots,
            long memoryTokens,
            boolean hedgingEnabled,
            long untilNanos,
            long seed) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < targets; i++) {
            fleet.mTargets.add(
                    new CallQueueTarget(
                            fleet.mClock,
                            QueueConfig.forSlots(slots),
                            OrganisationWeights.EQUAL,
                            memoryTokens));
        }
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < ENTRY_HOSTS; i++) {
            EntryHost host =
                    new EntryHost(
                            fleet.mClock,
                            fleet.mTargets,
                            slots,
                            fleet.mAttainedService,
                            hedgingEnabled,
                            random.split());
            host.scheduleLoadReports(untilNanos);
            fleet.mEntryHosts.add(host);
        }
        return fleet;
    }

    /** Returns the dispatcher. All calls of a program go to the same entry host. */
    Dispatcher dispatcher() {
        if (mRoundRobin != null) {
            return mRoundRobin;
        }
        return (call, done) -> entryHost(call.program()).dispatch(call, done);
    }

    /**
     * Frees the engine memory of a program that has ended. Does nothing for a baseline, which does
     * not track where prefixes are.
     */
    void release(Program program) {
        if (mRoundRobin == null) {
            entryHost(program).release(program);
        }
    }

    void forEachEngine(Consumer<Engine> action) {
        mTargets.forEach(target -> action.accept(target.engine()));
    }

    long attempts() {
        return mRoundRobin != null
                ? mRoundRobin.attempts()
                : mEntryHosts.stream().mapToLong(EntryHost::attempts).sum();
    }

    long hedgedCalls() {
        return mEntryHosts.stream().mapToLong(EntryHost::hedgedCalls).sum();
    }

    long computedPromptTokens() {
        return mTargets.stream().mapToLong(target -> target.engine().computedPromptTokens()).sum();
    }

    private EntryHost entryHost(Program program) {
        return mEntryHosts.get(Math.floorMod(program.id().hashCode(), mEntryHosts.size()));
    }
}
