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
    private String mSharedDeploymentName = "";

    DeploymentPool(ScenarioHttp http) {
        mHttp = http;
    }

    /**
     * Returns the deployment of a scenario. A shared deployment is started if it is not running;
     * for a scenario that names none, a deployment without processes is returned, and the scenario
     * starts the processes itself.
     */
    TestDeployment acquire(Scenario scenario) {
        String name = scenario.sharedDeployment().orElse("");
        if (!name.isEmpty() && mCurrent.isPresent() && mSharedDeploymentName.equals(name)) {
            return mCurrent.get();
        }
        close();
        TestDeployment deployment = create(name.isEmpty() ? scenario.name() : name);
        mCurrent = Optional.of(deployment);
        mSharedDeploymentName = name;
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
