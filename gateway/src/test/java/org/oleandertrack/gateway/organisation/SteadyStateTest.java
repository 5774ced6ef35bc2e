package org.oleandertrack.gateway.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;

/**
 * Guards against refusals of requests that keep to the rate and the burst of their organisation.
 */
final class SteadyStateTest {

    private static final String NAME = "birch";
    private static final long RUN_MILLIS = 60_000;

    private final FleetModel mFleet = new FleetModel(28, 3);

    @Test
    void nothingIsRefusedIfTheRequestsReachAllHosts() {
        assertEquals(
                0,
                refusalsOf(
                        new RequestLimit(185, 60),
                        () -> mFleet.hosts().get(mFleet.random().nextInt(28))));
    }

    /** Guards against limits that are divided between the hosts. */
    @Test
    void nothingIsRefusedIfAllRequestsReachOneHost() {
        assertEquals(0, refusalsOf(new RequestLimit(185, 60), () -> mFleet.hosts().getFirst()));
        assertEquals(0, refusalsOf(new RequestLimit(0.5, 3), () -> mFleet.hosts().getLast()));
    }

    /** Guards against buckets of idle organisations that start empty when they return. */
    @Test
    void theBurstIsAvailableAfterAnIdleTime() {
        mFleet.limit(NAME, new RequestLimit(2, 50), 0);
        mFleet.step();
        assertTrue(mFleet.hosts().get(4).send(NAME, Optional.of("p")));
        mFleet.steps(200_000);
        for (int i = 0; i < 50; i++) {
            assertTrue(mFleet.hosts().get(i % 28).send(NAME, Optional.of("p" + i)), "request " + i);
        }
    }

    // Sends as much as a bucket with the limit's values permits, in random batches.
    private int refusalsOf(RequestLimit limit, Supplier<FleetModel.Host> hosts) {
        mFleet.limit(NAME, limit, 0);
        double tokens = limit.burst();
        int sent = 0;
        int refused = 0;
        for (long passed = 0; passed < RUN_MILLIS; passed += FleetModel.STEP_MILLIS) {
            mFleet.step();
            tokens += limit.requestsPerSecond() * FleetModel.STEP_MILLIS / 1_000;
            tokens = Math.min(tokens, Math.max(1, limit.burst()));
            int batch = mFleet.random().nextInt(20) == 0 ? mFleet.random().nextInt(60) : 2;
            for (int i = 0; i < batch && tokens >= 1; i++) {
                tokens--;
                sent++;
                boolean admitted = hosts.get().send(NAME, Optional.of("p" + sent / 6));
                refused += admitted ? 0 : 1;
            }
        }
        assertTrue(sent > 0.9 * limit.requestsPerSecond() * RUN_MILLIS / 1_000, "sent " + sent);
        return refused;
    }
}
