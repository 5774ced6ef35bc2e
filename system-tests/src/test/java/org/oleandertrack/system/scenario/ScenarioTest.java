package org.oleandertrack.system.scenario;

import static org.junit.jupiter.api.Assumptions.abort;

import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.NamerWrapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs each file in {@code scenarios} as a test with real processes. The comments of a file say
 * which failures it guards against.
 */
final class ScenarioTest {

    private static final ScenarioHttp HTTP = new ScenarioHttp();
    private static final DeploymentPool POOL = new DeploymentPool(HTTP);

    private final KnownFailures mKnownFailures = new KnownFailures(ScenarioFiles.ROOT);

    @AfterAll
    static void stopProcesses() {
        POOL.close();
    }

    /** Runs all scenarios, or those whose name contains the system property {@code scenario}. */
    @TestFactory
    Stream<DynamicTest> scenarios() {
        String selected = System.getProperty("scenario", "");
        return ScenarioFiles.all().stream()
                .filter(scenario -> scenario.name().contains(selected))
                .map(scenario -> DynamicTest.dynamicTest(title(scenario), () -> run(scenario)));
    }

    private void run(Scenario scenario) {
        if (mKnownFailures.contains(scenario.name())) {
            System.out.println("KNOWN-RED: scenario " + scenario.name() + " was not run");
            abort("listed in KNOWN-RED.txt");
        }
        boolean passed = false;
        try {
            ScenarioRunner runner = new ScenarioRunner(POOL.acquire(scenario), HTTP);
            runner.run(scenario);
            if (scenario.isGolden()) {
                verify(scenario, runner.transcript());
            }
            passed = true;
        } finally {
            if (!passed || scenario.sharedDeployment().isEmpty()) {
                POOL.close();
            }
        }
    }

    private static void verify(Scenario scenario, String transcript) {
        String folder = ScenarioFiles.scenariosFolder() + "/";
        Approvals.verify(
                transcript,
                new Options().forFile().withNamer(new NamerWrapper(scenario::name, () -> folder)));
    }

    private static String title(Scenario scenario) {
        return scenario.name() + " " + scenario.invariants();
    }
}
