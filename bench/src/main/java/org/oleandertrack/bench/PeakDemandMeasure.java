package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Bar;
import org.oleandertrack.core.admission.AdmissionConfig;
import org.oleandertrack.core.admission.AdmissionControl;
import org.oleandertrack.core.admission.AdmissionResult;
import org.oleandertrack.core.queue.OrganisationWeights;

/**
 * Programs finished in time at a demand peak of three times capacity that lasts two minutes. The
 * callers wait 45 s from the arrival; what comes later is not in time. Refused callers do not
 * return. Two baselines, both round robin with first come first served queues and without
 * admission: one runs every call, the other drops waiting calls whose callers have left.
 */
final class PeakDemandMeasure implements Measure {

    private static final int TARGETS = 12;
    private static final int SLOTS = 8;
    private static final int HOSTS = 3;
    private static final long MEMORY_TOKENS = 200_000;
    private static final long PATIENCE_NANOS = 45 * SECOND;
    private static final long MAX_WAIT_NANOS = 5 * SECOND;
    private static final long PEAK_START_NANOS = 60 * SECOND;
    private static final long PEAK_END_NANOS = 180 * SECOND;
    private static final long END_NANOS = 300 * SECOND;
    private static final double BASE_LOAD = 0.6;
    private static final double PEAK_LOAD = 3.0;

    @Override
    public String name() {
        return "peak-demand";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Program> programs = programs(seed);
        Result plain = run(Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS), programs, false, seed);
        Result dropping =
                run(Fleet.baselineDropping(TARGETS, SLOTS, MEMORY_TOKENS), programs, false, seed);
        Result open =
                run(
                        Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * END_NANOS, seed),
                        programs,
                        false,
                        seed);
        Result ours =
                run(
                        Fleet.ours(TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * END_NANOS, seed),
                        programs,
                        true,
                        seed);
        return List.of(
                Figure.ratio(
                        "programs of the peak in time, against plain FCFS",
                        plain.mInTime,
                        ours.mInTime,
                        Bar.over(2)),
                Figure.ratio(
                        "programs of the peak in time, against FCFS that drops late calls",
                        dropping.mInTime,
                        ours.mInTime,
                        Bar.over(2)),
                Figure.ratio(
                        "the same without our admission, against plain FCFS",
                        plain.mInTime,
                        open.mInTime,
                        Bar.none()),
                Figure.value(
                        "programs admitted at the peak that finish in time, share",
                        (double) plain.mInTime / plain.mArrived,
                        (double) ours.mInTime / (ours.mArrived - ours.mRefused),
                        Bar.none()));
    }

    private static Result run(Fleet fleet, List<Program> programs, boolean admission, long seed) {
        Result result = new Result();
        SplittableRandom random = new SplittableRandom(seed);
        List<AdmissionControl> controls = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            controls.add(
                    new AdmissionControl(
                            AdmissionConfig.DEFAULT,
                            OrganisationWeights.EQUAL,
                            TARGETS * SLOTS / HOSTS,
                            random.split()));
        }
        Set<String> refused = new HashSet<>();
        Dispatcher inner = fleet.dispatcher();
        Dispatcher admitting =
                (call, done) -> {
                    Program program = call.program();
                    boolean admitted =
                            !admission
                                    || control(controls, program)
                                                    .admit(
                                                            program.id(),
                                                            program.organisation(),
                                                            MAX_WAIT_NANOS,
                                                            0,
                                                            fleet.mClock.now())
                                            instanceof AdmissionResult.Admitted;
                    if (admitted) {
                        inner.dispatch(call, done);
                    } else {
                        refused.add(program.id());
                        done.accept(Attempt.Outcome.NOT_RUN);
                    }
                };
        new ProgramRunner(
                        fleet.mClock,
                        admitting,
                        fleet.mAttained,
                        program -> program.arrivalNanos() + PATIENCE_NANOS)
                .run(
                        programs,
                        (program, inTime) -> {
                            long service = fleet.mAttained.attainedNanos(program.id());
                            long pauses = program.unloadedNanos() - program.serviceNanos();
                            control(controls, program)
                                    .end(program.id(), service, service + pauses, inTime);
                            fleet.release(program);
                            if (isPeak(program)) {
                                result.mArrived++;
                                result.mInTime += inTime ? 1 : 0;
                                result.mRefused += refused.contains(program.id()) ? 1 : 0;
                            }
                        });
        return result;
    }

    private static AdmissionControl control(List<AdmissionControl> controls, Program program) {
        return controls.get(Math.floorMod(program.id().hashCode(), controls.size()));
    }

    private static boolean isPeak(Program program) {
        return program.arrivalNanos() >= PEAK_START_NANOS
                && program.arrivalNanos() < PEAK_END_NANOS;
    }

    private static List<Program> programs(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double perSecond = TARGETS * SLOTS * SECOND / ProgramLoad.USUAL.meanServiceNanos();
        List<Long> arrivals = new ArrayList<>();
        for (long arrival : Loads.arrivals(random, BASE_LOAD * perSecond, END_NANOS)) {
            arrivals.add(arrival);
        }
        double added = (PEAK_LOAD - BASE_LOAD) * perSecond;
        for (long arrival : Loads.arrivals(random, added, PEAK_END_NANOS - PEAK_START_NANOS)) {
            arrivals.add(PEAK_START_NANOS + arrival);
        }
        arrivals.sort(null);
        return ProgramLoad.USUAL.at(random, arrivals);
    }

    private static final class Result {
        private int mArrived;
        private int mInTime;
        private int mRefused;
    }
}
