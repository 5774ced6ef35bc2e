package org.oleandertrack.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against guarantees of the gateway that do not hold when several faults overlap: requests
 * that run twice, answers that belong to other requests, refused requests that have run, overspent
 * budgets and processes that do not recover. A seed that has failed once is added to the list for
 * good, with the cause of its failure.
 */
final class SoakTest {

    private static final Path JAR =
            Path.of("..", "platform", "target", "oleandertrack-platform-all.jar").toAbsolutePath();
    private static final SoakRun.Size SIZE = new SoakRun.Size(3, 8, 6_000);

    // 131, 146: the soak waited for the end of the wrong process, or of a frozen one.
    @ParameterizedTest
    @ValueSource(longs = {1, 131, 146})
    void allGuaranteesHold(long seed) throws IOException, InterruptedException {
        Path folder = Path.of("target", "runs", "seed-" + seed).toAbsolutePath();
        assertEquals(List.of(), new SoakRun(seed, SIZE, JAR, folder).run());
    }
}
