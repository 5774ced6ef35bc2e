package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.oleandertrack.bench.Figure.Requirement;
import org.oleandertrack.core.admission.AdmissionConfig;
import org.oleandertrack.core.admission.AdmissionControl;
import org.oleandertrack.core.admission.AdmissionResult;
import org.oleandertrack.core.queue.OrganisationWeights;

/**
 * Measures how many programs finish in time during a demand peak of three times the capacity that
 * lasts two minutes. A program is in time if it finishes within 45 s of its arrival, after which
 * its caller stops waiting. Refused programs are not sent again. There are two baselines, both
 * round robin with first-come-first-served queues and without admission control: one runs every
 * call; the other drops calls from the queue whose callers have stopped waiting.
 */
final class PeakDemandMeasure implements Measure {

    private static final int TARGETS = 12;
    private static final int SLOTS = 8;
    private static final int ENTRY_HOSTS = 3;
    private static final long MEMORY_TOKENS = 200_000;
    private static final long CALLER_TIMEOUT_NANOS = 45 * SECOND;
    private static final long MAX_WAIT_NANOS = 5 * SECOND;
    private static final long PEAK_START_NANOS = 60 * SECOND;
    private static final long PEAK_END_NANOS = 180 * SECOND;
    private static final long END_NANOS = 300 * SECOND;
    // Offered load before, during and after the peak, as fractions of the capacity.
    private static final double BASE_LOAD = 0.6;
    private static final double PEAK_LOAD = 3.0;

    @Override
    public String name() {
        return "peak-demand";
    }

    @Override
    public List<Figure> run(long seed) {
        List<Program> programs = drawPrograms(seed);
        Result baseline = run(Fleet.baseline(TARGETS, SLOTS, MEMORY_TOKENS), programs, false, seed);
        Result droppingBaseline =
                run(Fleet.baselineDropping(TARGETS, SLOTS, MEMORY_TOKENS), programs, false, seed);
        Result productWithoutAdmission =
                run(
                        Fleet.withProductPolicies(
                                TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * END_NANOS, seed),
                        programs,
                        false,
                        seed);
        Result product =
                run(
                        Fleet.withProductPolicies(
                                TARGETS, SLOTS, MEMORY_TOKENS, true, 2 * END_NANOS, seed),
                        programs,
                        true,
                        seed);
        return List.of(
                Figure.ratio(
                        "programs of the peak in time, against plain FCFS",
                        baseline.mFinishedInTime,
                        product.mFinishedInTime,
                        Requirement.over(2)),
                Figure.ratio(
                        "programs of the peak in time, against FCFS that drops late calls",
                        droppingBaseline.mFinishedInTime,
                        product.mFinishedInTime,
                        Requirement.over(2)),
                Figure.ratio(
                        "programs of the peak in time, no admission control, against plain FCFS",
                        baseline.mFinishedInTime,
                        productWithoutAdmission.mFinishedInTime,
                        Requirement.none()),
                Figure.value(
                        "programs admitted at the peak that finish in time, share",
                        (double) baseline.mFinishedInTime / baseline.mArrived,
                        (double) product.mFinishedInTime / (product.mArrived - product.mRefused),
                        Requirement.none()));
    }

    private static Result run(
            Fleet fleet, List<Program> programs, boolean admissionEnabled, long seed) {
        Result result = new Result();
        SplittableRandom random = new SplittableRandom(seed);
        List<AdmissionControl> controls = new ArrayList<>();
        for (int i = 0; i < ENTRY_HOSTS; i++) {
            controls.add(
                    new AdmissionControl(
                            AdmissionConfig.DEFAULT,
                            OrganisationWeights.EQUAL,
                            TARGETS * SLOTS / ENTRY_HOSTS,
                            random.split()));
        }
        Set<String> refusedProgramIds = new HashSet<>();
        Dispatcher inner = fleet.dispatcher();
        Dispatcher admitting =
                (call, done) -> {
                    Program program = call.program();
                    boolean admitted =
                            !admissionEnabled
                                    || admissionControl(controls, program)
                                                    .admit(
                                                            program.id(),
                                                            program.organisation(),
                                                            MAX_WAIT_NANOS,
                                                            0,
                                                            fleet.mClock.nowNanos())
                                            instanceof AdmissionResult.Admitted;
                    if (admitted) {
                        inner.dispatch(call, done);
                    } else {
                        refusedProgramIds.add(program.id());
                        done.accept(Attempt.Outcome.NOT_RUN);
                    }
                };
        new ProgramRunner(
                        fleet.mClock,
                        admitting,
                        fleet.mAttainedService,
                        program -> program.arrivalNanos() + CALLER_TIMEOUT_NANOS)
                .run(
                        programs,
                        (program, inTime) -> {
                            long serviceNanos = fleet.mAttainedService.attainedNanos(program.id());
                            long pauseNanos = program.unloadedNanos() - program.serviceNanos();
                            admissionControl(controls, program)
                                    .end(
                                            program.id(),
                                            serviceNanos,
                                            serviceNanos + pauseNanos,
                                            inTime);
                            fleet.release(program);
                            if (isPeak(program)) {
                                result.mArrived++;
                                result.mFinishedInTime += inTime ? 1 : 0;
                                result.mRefused += refusedProgramIds.contains(program.id()) ? 1 : 0;
                            }
                        });
        return result;
    }

    private static AdmissionControl admissionControl(
            List<AdmissionControl> controls, Program program) {
        return controls.get(Math.floorMod(program.id().hashCode(), controls.size()));
    }

    private static boolean isPeak(Program program) {
        return program.arrivalNanos() >= PEAK_START_NANOS
                && program.arrivalNanos() < PEAK_END_NANOS;
    }

    private static List<Program> drawPrograms(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double programsPerSecond =
                TARGETS * SLOTS * SECOND / ProgramLoad.DEFAULT.meanServiceNanos();
        List<Long> arrivals = new ArrayList<>();
        for (long arrival :
                LoadDistributions.drawArrivals(random, BASE_LOAD * programsPerSecond, END_NANOS)) {
            arrivals.add(arrival);
        }
        double addedProgramsPerSecond = (PEAK_LOAD - BASE_LOAD) * programsPerSecond;
        for (long arrival :
                LoadDistributions.drawArrivals(
                        random, addedProgramsPerSecond, PEAK_END_NANOS - PEAK_START_NANOS)) {
            arrivals.add(PEAK_START_NANOS + arrival);
        }
        arrivals.sort(null);
        return ProgramLoad.DEFAULT.drawAt(random, arrivals);
    }

    private static final class Result {
        private int mArrived;
        private int mFinishedInTime;
        private int mRefused;
    }
}
