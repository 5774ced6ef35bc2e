package org.oleandertrack.core.turn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.oleandertrack.core.placement.HealthView;

/**
 * Hosts that place the turns of programs on engines, on a virtual clock. Each host knows only its
 * own turns and the loads that their responses state.
 */
final class TurnLoadModel implements EngineModel.Events {

    static final int HOSTS = 27;
    static final int ENGINES = 22;
    static final int SLOTS = 6;

    private static final int TURNS_PER_PROGRAM = 4;
    private static final int OUTPUT_TOKENS = 36;
    private static final int SHARED_TOKENS = 1_500;
    private static final int SHARED_PARTS = 24;
    private static final int NEW_TOKENS = 600;
    // Mean number of tokens that an engine prefills for a turn, as observed in this model.
    private static final int MEAN_MISSING_TOKENS = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Random mRandom = new Random(5);
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Double> mTurnMillis = new ArrayList<>();
    private final int[] mTurnsAt = new int[ENGINES];
    private final boolean mLearning;
    private UnaryOperator<ReportedLoad> mReportOfFirstEngine = load -> load;
    private long mNowNanos = 1_000_000_000L;
    private long mSequence;
    private int mPrograms;

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** A gateway host. */
    final class Host {
        final LearnedTimes mTimes = new LearnedTimes(EngineTimes.DEFAULT);
        final List<TargetState> mStates = new ArrayList<>();
        private final ServiceLoad mLoad = new ServiceLoad();
        private final TurnPlacement mPlacement;

        Host(int index) {
            mPlacement = new TurnPlacement("z" + index % 2);
            for (int i = 0; i < ENGINES; i++) {
                mStates.add(
                        new TargetState(
                                "e" + i,
                                "z" + i % 2,
                                SLOTS,
                                60_000 / HOSTS,
                                mLoad,
                                mTimes.add(),
                                HealthView.ALL_HEALTHY));
            }
        }

        private void send(TurnRequest turn, Runnable onEnd) {
            long sentNanos = mNowNanos;
            PlacementChoice choice =
                    mPlacement.choose(mStates, turn, Set.of(), mNowNanos).orElseThrow();
            int index = Integer.parseInt(choice.targetId().substring(1));
            mTurnsAt[index]++;
            TargetState state = mStates.get(index);
            state.load().recordSent();
            state.prefixCache().recordPrefill(turn.parts());
            ReportedLoad[] report = new ReportedLoad[1];
            EngineModel.Job[] job = new EngineModel.Job[1];
            job[0] =
                    new EngineModel.Job(
                            turn,
                            () -> {
                                ReportedLoad load = mEngines.get(index).load();
                                report[0] = index == 0 ? mReportOfFirstEngine.apply(load) : load;
                                state.load().recordReport(report[0], mNowNanos);
                            },
                            () -> {
                                state.load().recordEnded();
                                mTurnMillis.add((mNowNanos - sentNanos) / NANOS_PER_MILLI);
                                learn(state, choice, report[0], job[0], sentNanos);
                                onEnd.run();
                            });
            mEngines.get(index).submit(job[0]);
        }

        private void learn(
                TargetState state,
                PlacementChoice choice,
                ReportedLoad load,
                EngineModel.Job job,
                long sentNanos) {
            if (!mLearning) {
                return;
            }
            OptionalDouble firstEventMillis =
                    OptionalDouble.of((job.mFirstEventNanos - sentNanos) / NANOS_PER_MILLI);
            TurnObservation turn =
                    new TurnObservation(
                            load,
                            choice.requests(),
                            choice.missingTokens(),
                            choice.missingTokensAssumed(),
                            firstEventMillis,
                            job.usualGapMillis(),
                            true);
            mTimes.recordTurn(
                    state.times(),
                    turn,
                    SLOTS,
                    state.load().ownRequests(),
                    EngineModel.TOKENS_PER_EVENT,
                    mNowNanos);
        }
    }

    /**
     * Creates the model.
     *
     * @param times times of an engine of factor 1
     * @param factors factors of the engines, repeated
     * @param learning whether the hosts learn times
     */
    TurnLoadModel(EngineTimes times, double[] factors, boolean learning) {
        mLearning = learning;
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(new EngineModel(SLOTS, times, factors[i % factors.length], this));
            scheduleSlowPeriod(mEngines.get(i));
        }
        for (int i = 0; i < HOSTS; i++) {
            mHosts.add(new Host(i));
        }
    }

    /** Returns the number of turns per second that engines of the given factors can run. */
    static double capacityPerSecond(EngineTimes times, double[] factors) {
        double turnMillis =
                OUTPUT_TOKENS * times.stepMillis(SLOTS) / SLOTS
                        + times.prefillMillis(MEAN_MISSING_TOKENS);
        double perSecond = 0;
        for (int i = 0; i < ENGINES; i++) {
            perSecond += 1_000 / (turnMillis * factors[i % factors.length]);
        }
        return perSecond;
    }

    List<Host> hosts() {
        return mHosts;
    }

    EngineModel engine(int index) {
        return mEngines.get(index);
    }

    int turnsAt(int index) {
        return mTurnsAt[index];
    }

    void setReportOfFirstEngine(UnaryOperator<ReportedLoad> report) {
        mReportOfFirstEngine = report;
    }

    double meanMillis() {
        return mTurnMillis.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    double p99Millis() {
        return mTurnMillis.stream().sorted().toList().get(mTurnMillis.size() * 99 / 100);
    }

    void clearFigures() {
        mTurnMillis.clear();
        Arrays.fill(mTurnsAt, 0);
    }

    @Override
    public long nowNanos() {
        return mNowNanos;
    }

    @Override
    public void schedule(double delayMillis, Runnable action) {
        mEvents.add(
                new Event(mNowNanos + (long) (delayMillis * NANOS_PER_MILLI), mSequence++, action));
    }

    /** Runs the given time under the given load. */
    void run(double seconds, double turnsPerSecond) {
        long endNanos = mNowNanos + (long) (seconds * 1_000 * NANOS_PER_MILLI);
        scheduleProgram(endNanos, turnsPerSecond / TURNS_PER_PROGRAM);
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() < endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }

    private void scheduleProgram(long endNanos, double programsPerSecond) {
        double delayMillis = -Math.log(1 - mRandom.nextDouble()) * 1_000 / programsPerSecond;
        if (mNowNanos + delayMillis * NANOS_PER_MILLI < endNanos) {
            schedule(
                    delayMillis,
                    () -> {
                        startTurn("p" + mPrograms++, mRandom.nextInt(SHARED_PARTS), 1);
                        scheduleProgram(endNanos, programsPerSecond);
                    });
        }
    }

    private void startTurn(String program, int sharedPart, int number) {
        int ownTokens = NEW_TOKENS * number;
        TurnRequest turn =
                new TurnRequest(
                        SHARED_TOKENS + ownTokens,
                        List.of(
                                new PromptPart("shared" + sharedPart, SHARED_TOKENS),
                                new PromptPart(program, ownTokens)),
                        OUTPUT_TOKENS,
                        program);
        mHosts.get(mRandom.nextInt(HOSTS))
                .send(
                        turn,
                        () -> {
                            if (number < TURNS_PER_PROGRAM) {
                                startTurn(program, sharedPart, number + 1);
                            }
                        });
    }

    // Every engine is 2.5 times as slow for 600 ms, about every 12 s.
    private void scheduleSlowPeriod(EngineModel engine) {
        schedule(
                mRandom.nextDouble() * 24_000,
                () -> {
                    engine.setSlowness(2.5);
                    schedule(600, () -> engine.setSlowness(1));
                    scheduleSlowPeriod(engine);
                });
    }
}
