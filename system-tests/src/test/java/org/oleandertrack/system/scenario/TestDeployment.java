package org.oleandertrack.system.scenario;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oleandertrack.system.LocalDeployment;

/**
 * A deployment, with the names and models of the processes that scenarios started. Not thread safe.
 */
final class TestDeployment implements AutoCloseable {

    private static final String SIDECAR_SUFFIX = "-sidecar";

    private final LocalDeployment mDeployment;
    private final Map<String, String> mEngineModels = new LinkedHashMap<>();
    private final List<String> mEntries = new ArrayList<>();
    private final List<String> mSidecars = new ArrayList<>();
    private boolean mHostListStale;

    TestDeployment(LocalDeployment deployment) {
        mDeployment = deployment;
    }

    // Life-cycle

    void startPlatform() {
        mDeployment.startPlatform();
    }

    /**
     * Starts a target and its sidecar, which is named after the target with the suffix "-sidecar".
     */
    void startTarget(Statement.StartTarget target) {
        String[] arguments = target.arguments().toArray(String[]::new);
        if (target.isEngine()) {
            mDeployment.startEngine(target.name(), target.modelsOrService(), arguments);
            mEngineModels.put(target.name(), target.modelsOrService());
        } else {
            mDeployment.startService(target.name(), target.modelsOrService(), arguments);
        }
        mDeployment.startSidecar(target.name() + SIDECAR_SUFFIX, target.zone(), target.name());
        mSidecars.add(target.name() + SIDECAR_SUFFIX);
        mHostListStale = true;
    }

    void startEntry(Statement.StartEntry entry) {
        mDeployment.startEntry(entry.node(), entry.zone());
        mEntries.add(entry.node());
        mHostListStale = true;
    }

    /**
     * If daemons were started since the host list was last published, waits until they are
     * listening and publishes it again. Daemons that are started without a wait between them start
     * in parallel.
     */
    void publishStartedHosts() {
        if (mHostListStale) {
            mDeployment.publishHosts();
            mHostListStale = false;
        }
    }

    @Override
    public void close() {
        mDeployment.close();
    }

    // Operations

    void appendSettings(Statement.Settings settings) {
        if (settings.role().equals("entry")) {
            mDeployment.appendToEntrySettings(settings.toml());
        } else {
            mDeployment.appendToSidecarSettings(settings.toml());
        }
    }

    void signal(Statement.Signal signal) {
        String name = signal.name();
        switch (signal.kind()) {
            case KILL -> mDeployment.process(name).kill();
            case FREEZE -> mDeployment.process(name).freeze();
            case RESUME -> mDeployment.process(name).resume();
            case TERMINATE -> mDeployment.process(name).terminate();
            case STOP -> mDeployment.stop(name);
            case RESTART -> restart(name);
            case LEAVING -> mDeployment.markLeaving(name);
        }
    }

    void setFaults(Statement.Fault fault) {
        mDeployment.control(fault.name(), "/control/faults", fault.json());
    }

    // Accessors

    LocalDeployment localDeployment() {
        return mDeployment;
    }

    URI address(String name) {
        URI address = mDeployment.address(name);
        if (address == null) {
            throw new AssertionError("process " + name + " has no address for requests");
        }
        return address;
    }

    /** Returns the model of the first engine; turns that do not name a model use it. */
    String defaultModel() {
        return mEngineModels.values().stream().findFirst().orElse("");
    }

    /** Returns the address of the first engine, for requests that are sent to it directly. */
    URI directTarget() {
        return address(mEngineModels.keySet().iterator().next());
    }

    List<String> liveEntries() {
        return mEntries.stream().filter(mDeployment::isAlive).toList();
    }

    int liveSidecarCount() {
        return (int) mSidecars.stream().filter(mDeployment::isAlive).count();
    }

    // Helpers

    private void restart(String name) {
        mDeployment.restart(name);
        if (mEntries.contains(name)) {
            mDeployment.awaitReady(name);
        }
    }
}
