package org.oleandertrack.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against promises that break under faults that come in series: runs twice, answers of other
 * requests, refusals that have run, overspent budgets, processes that do not come back. Seeds that
 * ever failed stay in the list, each with its cause.
 */
final class SoakTest {

    private static final Path JAR =
            Path.of("..", "platform", "target", "oleandertrack-platform-all.jar").toAbsolutePath();
    private static final SoakRun.Size SIZE = new SoakRun.Size(3, 8, 6_000);

    @ParameterizedTest
    @ValueSource(longs = {1})
    void noPromiseIsBroken(long seed) throws IOException, InterruptedException {
        Path folder = Path.of("target", "runs", "seed-" + seed).toAbsolutePath();
        assertEquals(List.of(), new SoakRun(seed, SIZE, JAR, folder).run());
    }
}
