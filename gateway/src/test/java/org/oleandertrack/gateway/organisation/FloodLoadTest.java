package org.oleandertrack.gateway.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.gateway.call.OrganisationLimiter;

/**
 * Guards against a flood of one organisation that costs others their requests, or that is spent on
 * programs of which none ends. 28 hosts, 74 organisations, 500 requests per second before a flood
 * of 7.5 times the usual load of the largest organisation, which is 4.7 times its limit.
 */
final class FloodLoadTest {

    private static final int HOSTS = 28;
    private static final String LARGE = "large";
    private static final RequestLimit LARGE_LIMIT = new RequestLimit(295, 295);
    private static final double LARGE_REQUESTS = 185;
    private static final int OTHERS = 73;
    private static final RequestLimit OTHER_LIMIT = new RequestLimit(8, 40);
    private static final double OTHER_REQUESTS = 4.3;
    private static final double FLOOD = 7.5;
    private static final int PROGRAM_REQUESTS = 6;
    private static final long REQUEST_MILLIS = 400;
    // Clients obey a Retry-After up to a third of their remaining time.
    private static final long PROGRAM_MILLIS = 15_000;
    private static final long USUAL_MILLIS = 30_000;
    private static final long FLOOD_MILLIS = 30_000;

    @Test
    void aFloodGetsItsLimitAsWholeProgramsAndCostsOthersNothing() {
        Result result = new Load(true).run();
        assertEquals(0, result.mOthersRefused, result.toString());
        // The window of the requirements, over the whole flood.
        double most =
                (LARGE_LIMIT.requestsPerSecond() * FLOOD_MILLIS / 1_000 + LARGE_LIMIT.burst()) * 1.1
                        + 20;
        assertTrue(result.mFloodSent <= most, result.toString());
        assertTrue(
                result.mFloodSent >= 0.85 * LARGE_LIMIT.requestsPerSecond() * FLOOD_MILLIS / 1_000,
                result.toString());
        double wholeRequests = (double) PROGRAM_REQUESTS * result.mFloodWhole;
        assertTrue(wholeRequests >= 0.8 * result.mFloodSent, result.toString());
        assertTrue(
                result.mCallsPerSecond < 2 * (LARGE_LIMIT.requestsPerSecond() + 10 * HOSTS + 315),
                result.toString());
    }

    @Test
    void withoutProgramIdsTheFloodGetsItsLimitToo() {
        Result result = new Load(false).run();
        assertEquals(0, result.mOthersRefused, result.toString());
        assertTrue(
                result.mFloodSent >= 0.85 * LARGE_LIMIT.requestsPerSecond() * FLOOD_MILLIS / 1_000,
                result.toString());
    }

    /** What was counted during the flood. */
    private static final class Result {
        private int mUsualRefused;
        private int mOthersRefused;
        private int mFloodSent;
        private int mFloodPrograms;
        private int mFloodWhole;
        private int mFloodGivenUp;
        private double mCallsPerSecond;

        @Override
        public String toString() {
            return "refused before the flood "
                    + mUsualRefused
                    + ", others refused "
                    + mOthersRefused
                    + ", flood sent "
                    + mFloodSent
                    + ", programs begun "
                    + mFloodPrograms
                    + ", whole "
                    + mFloodWhole
                    + ", given up after a request ran "
                    + mFloodGivenUp
                    + ", calls per second "
                    + mCallsPerSecond;
        }
    }

    /** A program of one organisation, whose requests follow one another. */
    private static final class Program {
        private final String mOrganisation;
        private final int mNumber;
        private final long mEndMillis;
        private int mDone;
        private long mNextMillis;

        Program(String organisation, int number, long nowMillis) {
            mOrganisation = organisation;
            mNumber = number;
            mEndMillis = nowMillis + PROGRAM_MILLIS;
            mNextMillis = nowMillis;
        }
    }

    /** A simulated load: usual, then with the flood. */
    private static final class Load {
        private final FleetModel mFleet = new FleetModel(HOSTS, 5);
        private final Random mRandom = mFleet.random();
        private final boolean mWithIds;
        private final Result mResult = new Result();
        private final PriorityQueue<Program> mDue =
                new PriorityQueue<>(Comparator.comparingLong(program -> program.mNextMillis));
        private final Map<String, RequestLimit> mLimits = new HashMap<>();
        private int mPrograms;
        private boolean mFlooding;

        Load(boolean withIds) {
            mWithIds = withIds;
            mLimits.put(LARGE, LARGE_LIMIT);
            for (int i = 0; i < OTHERS; i++) {
                mLimits.put("small-" + i, OTHER_LIMIT);
            }
            mLimits.forEach((name, limit) -> mFleet.limit(name, limit, 0));
        }

        Result run() {
            runFor(USUAL_MILLIS);
            mFlooding = true;
            int callsBefore = mFleet.calls();
            int sentBefore = sum(mFleet.sends(LARGE));
            runFor(FLOOD_MILLIS);
            mResult.mCallsPerSecond = (mFleet.calls() - callsBefore) * 1_000.0 / FLOOD_MILLIS;
            mResult.mFloodSent = sum(mFleet.sends(LARGE)) - sentBefore;
            return mResult;
        }

        private static int sum(List<Integer> values) {
            return values.stream().mapToInt(Integer::intValue).sum();
        }

        private void runFor(long millis) {
            long endMillis = mFleet.nowMillis() + millis;
            while (mFleet.nowMillis() < endMillis) {
                mFleet.step();
                mLimits.keySet().forEach(this::begin);
                while (!mDue.isEmpty() && mDue.peek().mNextMillis <= mFleet.nowMillis()) {
                    request(mDue.poll());
                }
            }
        }

        private void begin(String organisation) {
            boolean large = organisation.equals(LARGE);
            double requests = large ? LARGE_REQUESTS * (mFlooding ? FLOOD : 1) : OTHER_REQUESTS;
            double programs = requests / PROGRAM_REQUESTS * FleetModel.STEP_MILLIS / 1_000;
            int count = (int) (programs + mRandom.nextDouble());
            for (int i = 0; i < count; i++) {
                mDue.add(new Program(organisation, mPrograms++, mFleet.nowMillis()));
            }
        }

        private void request(Program program) {
            FleetModel.Host host = mFleet.hosts().get(mRandom.nextInt(HOSTS));
            Optional<String> id = mWithIds ? Optional.of("p" + program.mNumber) : Optional.empty();
            boolean floods = mFlooding && program.mOrganisation.equals(LARGE);
            switch (host.sendOrRefuse(program.mOrganisation, id)) {
                case OrganisationLimiter.Admission.Admitted admitted -> {
                    program.mDone++;
                    program.mNextMillis = mFleet.nowMillis() + REQUEST_MILLIS;
                    mResult.mFloodPrograms += floods && program.mDone == 1 ? 1 : 0;
                    if (program.mDone < PROGRAM_REQUESTS) {
                        mDue.add(program);
                    } else {
                        mResult.mFloodWhole += floods ? 1 : 0;
                    }
                }
                case OrganisationLimiter.Admission.Refused refused -> {
                    mResult.mOthersRefused += mFlooding && !floods ? 1 : 0;
                    mResult.mUsualRefused += mFlooding ? 0 : 1;
                    long remaining = program.mEndMillis - mFleet.nowMillis();
                    if (refused.retryAfterMillis() > remaining / 3) {
                        mResult.mFloodGivenUp += floods && program.mDone > 0 ? 1 : 0;
                        return;
                    }
                    program.mNextMillis = mFleet.nowMillis() + refused.retryAfterMillis();
                    mDue.add(program);
                }
            }
        }
    }
}
