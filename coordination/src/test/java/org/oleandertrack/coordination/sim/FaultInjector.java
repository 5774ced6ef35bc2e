package org.oleandertrack.coordination.sim;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/** Injects faults of the store, the network and processes at random; faults may overlap. */
public final class FaultInjector {

    /** A process and its access to the store. */
    public record SimProcess(VirtualNode node, FakeStore.View view) {}

    private final VirtualTime mTime;
    private final FakeStore mStore;
    private final Supplier<List<SimProcess>> mProcesses;
    private final Random mRandom;
    private boolean mEnded;

    public FaultInjector(VirtualTime time, FakeStore store, Supplier<List<SimProcess>> processes) {
        mTime = time;
        mStore = store;
        mProcesses = processes;
        mRandom = new Random(time.random().nextLong());
    }

    public void start() {
        var _ = mTime.schedule(randomNanosUpTo(2 * VirtualTime.SECOND), this::inject);
    }

    /** Stops injecting and ends all faults. */
    public void end() {
        mEnded = true;
        mStore.healFaults();
        for (SimProcess process : mProcesses.get()) {
            process.view().setCutOff(false);
            if (process.node().isPaused()) {
                process.node().resume();
            }
        }
    }

    private void inject() {
        if (mEnded) {
            return;
        }
        List<SimProcess> processes = mProcesses.get();
        SimProcess process = processes.get(mRandom.nextInt(processes.size()));
        switch (mRandom.nextInt(6)) {
            case 0 -> {
                mStore.setDown(true);
                endAfter(randomNanosUpTo(9 * VirtualTime.SECOND), () -> mStore.setDown(false));
            }
            case 1 -> {
                mStore.setMaxLatencyNanos(randomNanosUpTo(2500 * VirtualTime.MILLI));
                endAfter(
                        randomNanosUpTo(6 * VirtualTime.SECOND),
                        () -> mStore.setMaxLatencyNanos(20 * VirtualTime.MILLI));
            }
            case 2 -> {
                mStore.setLostReplyShare(mRandom.nextDouble());
                endAfter(
                        randomNanosUpTo(6 * VirtualTime.SECOND), () -> mStore.setLostReplyShare(0));
            }
            case 3 -> {
                mStore.setLateWriteShare(mRandom.nextDouble());
                endAfter(
                        randomNanosUpTo(6 * VirtualTime.SECOND), () -> mStore.setLateWriteShare(0));
            }
            case 4 -> {
                process.view().setCutOff(true);
                endAfter(
                        randomNanosUpTo(9 * VirtualTime.SECOND),
                        () -> process.view().setCutOff(false));
            }
            default -> {
                process.node().pause();
                endAfter(randomNanosUpTo(9 * VirtualTime.SECOND), process.node()::resume);
            }
        }
        start();
    }

    private void endAfter(long nanos, Runnable end) {
        var _ =
                mTime.schedule(
                        nanos,
                        () -> {
                            if (!mEnded) {
                                end.run();
                            }
                        });
    }

    private long randomNanosUpTo(long nanos) {
        return 1 + mRandom.nextLong(nanos);
    }
}
