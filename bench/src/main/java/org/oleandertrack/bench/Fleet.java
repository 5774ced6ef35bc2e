package org.oleandertrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.oleandertrack.core.queue.AttainedService;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;

/** A few targets with either the product's policies or the plain baseline in front of them. */
final class Fleet {

    private static final int ENTRY_HOSTS = 3;
    private static final int MAX_BASELINE_ATTEMPTS = 4;
    private static final int MAX_PROGRAMS = 100_000;

    final VirtualClock mClock = new VirtualClock();
    final List<Target> mTargets = new ArrayList<>();
    final AttainedService mAttained = new AttainedService(MAX_PROGRAMS);
    private final List<EntryHost> mHosts = new ArrayList<>();
    private RoundRobinDispatcher mRoundRobin;

    private Fleet() {}

    /** Creates targets with first come first served queues, called in turn. */
    static Fleet baseline(int targets, int slots, long memoryTokens) {
        return baseline(targets, slots, memoryTokens, false);
    }

    /** Creates the same with queues that drop calls whose callers have left. */
    static Fleet baselineDropping(int targets, int slots, long memoryTokens) {
        return baseline(targets, slots, memoryTokens, true);
    }

    private static Fleet baseline(int targets, int slots, long memoryTokens, boolean dropping) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < targets; i++) {
            fleet.mTargets.add(new FifoTarget(fleet.mClock, slots, memoryTokens, dropping));
        }
        fleet.mRoundRobin =
                new RoundRobinDispatcher(
                        fleet.mClock, fleet.mTargets, fleet.mAttained, MAX_BASELINE_ATTEMPTS);
        return fleet;
    }

    /** Creates targets with the product's queue, called by entry hosts with its policies. */
    static Fleet ours(
            int targets,
            int slots,
            long memoryTokens,
            boolean hedging,
            long untilNanos,
            long seed) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < targets; i++) {
            fleet.mTargets.add(
                    new PolicyTarget(
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
                            fleet.mAttained,
                            hedging,
                            random.split());
            host.takeReports(untilNanos);
            fleet.mHosts.add(host);
        }
        return fleet;
    }

    /** Returns the dispatcher; a program stays with one entry host. */
    Dispatcher dispatcher() {
        if (mRoundRobin != null) {
            return mRoundRobin;
        }
        return (call, done) -> host(call.program()).dispatch(call, done);
    }

    /** Frees what a program holds, where the policies know it. */
    void release(Program program) {
        if (mRoundRobin == null) {
            host(program).release(program);
        }
    }

    void forEachEngine(Consumer<Engine> action) {
        mTargets.forEach(target -> action.accept(target.engine()));
    }

    long attempts() {
        return mRoundRobin != null
                ? mRoundRobin.attempts()
                : mHosts.stream().mapToLong(EntryHost::attempts).sum();
    }

    long hedged() {
        return mHosts.stream().mapToLong(EntryHost::hedged).sum();
    }

    long computedPromptTokens() {
        return mTargets.stream().mapToLong(target -> target.engine().computedPromptTokens()).sum();
    }

    private EntryHost host(Program program) {
        return mHosts.get(Math.floorMod(program.id().hashCode(), mHosts.size()));
    }
}
