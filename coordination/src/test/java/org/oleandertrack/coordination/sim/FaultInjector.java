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
        var _ = mTime.schedule(upTo(2 * VirtualTime.SECOND), this::inject);
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
                during(upTo(9 * VirtualTime.SECOND), () -> mStore.setDown(false));
            }
            case 1 -> {
                mStore.setMaxLatency(upTo(2500 * VirtualTime.MILLI));
                during(
                        upTo(6 * VirtualTime.SECOND),
                        () -> mStore.setMaxLatency(20 * VirtualTime.MILLI));
            }
            case 2 -> {
                mStore.setLostReplies(mRandom.nextDouble());
                during(upTo(6 * VirtualTime.SECOND), () -> mStore.setLostReplies(0));
            }
            case 3 -> {
                mStore.setLateWrites(mRandom.nextDouble());
                during(upTo(6 * VirtualTime.SECOND), () -> mStore.setLateWrites(0));
            }
            case 4 -> {
                process.view().setCutOff(true);
                during(upTo(9 * VirtualTime.SECOND), () -> process.view().setCutOff(false));
            }
            default -> {
                process.node().pause();
                during(upTo(9 * VirtualTime.SECOND), process.node()::resume);
            }
        }
        start();
    }

    private void during(long nanos, Runnable end) {
        var _ =
                mTime.schedule(
                        nanos,
                        () -> {
                            if (!mEnded) {
                                end.run();
                            }
                        });
    }

    private long upTo(long nanos) {
        return 1 + mRandom.nextLong(nanos);
    }
}
