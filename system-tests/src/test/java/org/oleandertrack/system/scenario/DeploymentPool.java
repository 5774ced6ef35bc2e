package org.oleandertrack.system.scenario;

import java.nio.file.Path;
import java.util.Optional;
import org.oleandertrack.system.DeploymentFiles;
import org.oleandertrack.system.HttpCaller;
import org.oleandertrack.system.LocalDeployment;

/**
 * Provides the deployments of scenarios. At most one deployment is running; a shared deployment is
 * reused as long as consecutive scenarios name it.
 */
final class DeploymentPool implements AutoCloseable {

    private final ScenarioHttp mHttp;
    private Optional<TestDeployment> mCurrent = Optional.empty();
    private String mName = "";

    DeploymentPool(ScenarioHttp http) {
        mHttp = http;
    }

    /**
     * Returns the deployment of a scenario. A shared deployment is started if it is not running;
     * any other is returned empty, and the scenario itself starts its processes.
     */
    TestDeployment acquire(Scenario scenario) {
        String name = scenario.sharedDeployment().orElse("");
        if (!name.isEmpty() && mCurrent.isPresent() && mName.equals(name)) {
            return mCurrent.get();
        }
        close();
        TestDeployment deployment = create(name.isEmpty() ? scenario.name() : name);
        mCurrent = Optional.of(deployment);
        mName = name;
        if (!name.isEmpty()) {
            new ScenarioRunner(deployment, mHttp).run(ScenarioFiles.deployment(name));
        }
        return deployment;
    }

    @Override
    public void close() {
        mCurrent.ifPresent(TestDeployment::close);
        mCurrent = Optional.empty();
    }

    private static TestDeployment create(String name) {
        Path folder = ScenarioFiles.MODULE.resolve("target/scenarios").resolve(name);
        return new TestDeployment(
                new LocalDeployment(
                        new DeploymentFiles(ScenarioFiles.ROOT, folder), new HttpCaller()));
    }
}
