package org.oleandertrack.system;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A deployment on loopback with a platform, targets, sidecars and entry hosts, each in a process of
 * its own. The daemons, that is sidecars and entry hosts, listen on free ports and log them; the
 * host list that the platform serves is built from these log lines. Not thread safe.
 */
public final class LocalDeployment implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final Pattern STANDIN_READY = Pattern.compile("^ready (\\d+)");
    private static final Pattern SIDECAR_READY =
            Pattern.compile("listening as sidecar .*peerPort=(\\d+) adminPort=(\\d+)");
    private static final Pattern ENTRY_READY =
            Pattern.compile(
                    "listening as entry host .*httpPort=(\\d+) adminPort=(\\d+) peerPort=(\\d+)");

    /** Exit code of a JVM that shut down in an orderly way after SIGTERM: 128 plus the signal. */
    private static final int SIGTERM_EXIT_CODE = 143;

    private final DeploymentFiles mFiles;
    private final HttpCaller mHttp;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, ManagedProcess> mProcesses = new LinkedHashMap<>();
    private final Map<String, ObjectNode> mHostListEntries = new LinkedHashMap<>();

    /** Concurrent, because background callers read it while a daemon is restarted. */
    private final Map<String, URI> mAddresses = new ConcurrentHashMap<>();

    private final Map<String, URI> mAdminAddresses = new ConcurrentHashMap<>();
    private final Map<String, TargetSpec> mTargetSpecs = new LinkedHashMap<>();
    private final Map<String, Runnable> mReadinessWaits = new LinkedHashMap<>();
    private final Map<String, Runnable> mLaunchActions = new LinkedHashMap<>();
    private String mExtraEntrySettings = "";
    private String mExtraSidecarSettings = "";

    /** Creates a deployment that keeps settings and logs in the given folder. */
    public LocalDeployment(DeploymentFiles files, HttpCaller http) {
        mFiles = files;
        mHttp = http;
    }

    // Life-cycle

    /** Starts the stand-in of the platform and waits until it is ready. */
    public void startPlatform() {
        mAddresses.put("platform", startStandin("platform", List.of("platform")));
    }

    /**
     * Starts a stand-in of a model engine and waits until it is ready.
     *
     * @param models names of the models that it serves, separated by commas
     * @param arguments further command-line arguments
     */
    public void startEngine(String name, String models, String... arguments) {
        List<String> command = new ArrayList<>(List.of("engine", "--models", models));
        command.addAll(List.of(arguments));
        mAddresses.put(name, startStandin(name, command));
        mTargetSpecs.put(name, new TargetSpec(name, models, ""));
    }

    /**
     * Starts a stand-in of a plain HTTP service and waits until it is ready.
     *
     * @param arguments further command-line arguments
     */
    public void startService(String name, String service, String... arguments) {
        List<String> command = new ArrayList<>(List.of("service"));
        command.addAll(List.of(arguments));
        mAddresses.put(name, startStandin(name, command));
        mTargetSpecs.put(name, new TargetSpec(name, "", service));
    }

    /**
     * Starts the sidecar of a target, without waiting for it. {@link #publishHosts} waits until it
     * is listening.
     */
    public void startSidecar(String node, String zone, String target) {
        TargetSpec spec = mTargetSpecs.get(target);
        Path settings =
                mFiles.write(
                        node + ".toml",
                        SettingsTemplates.sidecarToml(node, zone, spec, mAddresses.get(target))
                                + mExtraSidecarSettings);
        launch(node, () -> launchSidecar(node, zone, spec, settings));
    }

    /**
     * Starts an entry host, without waiting for it. {@link #publishHosts} waits until it is
     * listening.
     */
    public void startEntry(String node, String zone) {
        Path settings =
                mFiles.write(
                        node + ".toml",
                        SettingsTemplates.entryToml(node, zone, mAddresses.get("platform"))
                                + mExtraEntrySettings);
        launch(node, () -> launchEntry(node, zone, settings));
    }

    /**
     * Starts a daemon again with the settings of its first start, and publishes its new ports in
     * the host list. If it is still running, it is stopped first.
     */
    public void restart(String node) {
        stop(node);
        mLaunchActions.get(node).run();
        publishHosts();
    }

    /**
     * Stops a process if it is running.
     *
     * @throws IllegalStateException if its exit code reports an error
     */
    public void stop(String name) {
        ManagedProcess process = mProcesses.remove(name);
        if (process != null && process.isAlive()) {
            requireOrderlyExit(name, process.stop());
        }
    }

    /**
     * Waits for the end of a process that was asked to stop.
     *
     * @throws IllegalStateException if its exit code reports an error
     */
    public void awaitExit(String name) {
        requireOrderlyExit(name, mProcesses.get(name).awaitExit());
    }

    /**
     * Stops all processes in the reverse order of their start.
     *
     * @throws IllegalStateException if the exit code of a process reports an error
     */
    public void stopAll() {
        List<String> names = new ArrayList<>(mProcesses.keySet());
        for (String name : names.reversed()) {
            stop(name);
        }
    }

    @Override
    public void close() {
        mReadinessWaits.clear();
        mProcesses.values().forEach(ManagedProcess::close);
        mProcesses.clear();
    }

    // Operations

    /** Sets TOML text that is appended to the settings of entry hosts that are started later. */
    public void appendToEntrySettings(String toml) {
        mExtraEntrySettings = toml;
    }

    /** Sets TOML text that is appended to the settings of sidecars that are started later. */
    public void appendToSidecarSettings(String toml) {
        mExtraSidecarSettings = toml;
    }

    /**
     * Waits until all daemons that are starting are listening, then sends the host list to the
     * stand-in of the platform.
     */
    public void publishHosts() {
        mReadinessWaits.values().forEach(Runnable::run);
        mReadinessWaits.clear();
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode hosts = body.putArray("hosts");
        mHostListEntries.values().forEach(hosts::add);
        body.put("lagMillis", 0);
        mHttp.postJson(address("platform").resolve("/control/hosts"), body.toString());
    }

    /** Marks a host as leaving in the host list of the platform, without notifying the host. */
    public void markLeaving(String node) {
        mHostListEntries.get(node).put("leaving", true);
        publishHosts();
    }

    /** Waits until the readiness page of an entry host answers with status 200. */
    public void awaitReady(String entryNode) {
        mHttp.awaitStatus(mAdminAddresses.get(entryNode).resolve("/ready"), 200);
    }

    /** Posts a control command to a stand-in and returns the body of its response. */
    public String control(String name, String path, String json) {
        return mHttp.postJson(address(name).resolve(path), json);
    }

    // Accessors

    /** Returns the HTTP address of a stand-in or of an entry host. */
    public URI address(String name) {
        return mAddresses.get(name);
    }

    /** Returns the address of the administration pages of a daemon. */
    public URI adminAddress(String name) {
        return mAdminAddresses.get(name);
    }

    /**
     * Returns a process that was started and not stopped.
     *
     * @throws IllegalArgumentException if there is no such process with this name
     */
    public ManagedProcess process(String name) {
        ManagedProcess process = mProcesses.get(name);
        if (process == null) {
            throw new IllegalArgumentException("no process was started with the name " + name);
        }
        return process;
    }

    /** Returns whether a process was started and has not ended. */
    public boolean isAlive(String name) {
        ManagedProcess process = mProcesses.get(name);
        return process != null && process.isAlive();
    }

    /** Returns the log file of a process. A process that is restarted appends to the same file. */
    public Path log(String name) {
        return mFiles.log(name);
    }

    // Helpers

    private void launch(String node, Runnable launch) {
        mLaunchActions.put(node, launch);
        launch.run();
    }

    private void launchSidecar(String node, String zone, TargetSpec spec, Path settings) {
        ManagedProcess process =
                startDaemon(node, "sidecar", settings, SIDECAR_READY, JvmOptions.SIDECAR);
        mReadinessWaits.put(
                node,
                () -> {
                    Matcher ready = process.awaitReady();
                    mAdminAddresses.put(node, loopback(ready.group(2)));
                    addToHostList(node, "SIDECAR", zone, ready.group(1), spec);
                });
    }

    private void launchEntry(String node, String zone, Path settings) {
        ManagedProcess process =
                startDaemon(node, "entry", settings, ENTRY_READY, JvmOptions.ENTRY);
        mReadinessWaits.put(
                node,
                () -> {
                    Matcher ready = process.awaitReady();
                    mAddresses.put(node, loopback(ready.group(1)));
                    mAdminAddresses.put(node, loopback(ready.group(2)));
                    addToHostList(node, "ENTRY", zone, ready.group(3), new TargetSpec("", "", ""));
                });
    }

    private static void requireOrderlyExit(String name, int exitCode) {
        if (exitCode != 0 && exitCode != SIGTERM_EXIT_CODE) {
            throw new IllegalStateException(name + " ended with exit code " + exitCode);
        }
    }

    private URI startStandin(String name, List<String> arguments) {
        ManagedProcess process =
                ManagedProcess.start(
                        name,
                        ManagedProcess.javaCommand(
                                mFiles.standinsJar(), JvmOptions.STANDIN, arguments),
                        STANDIN_READY,
                        mFiles.log(name));
        mProcesses.put(name, process);
        return loopback(process.awaitReady().group(1));
    }

    private ManagedProcess startDaemon(
            String node, String role, Path settings, Pattern ready, List<String> jvmOptions) {
        ManagedProcess process =
                ManagedProcess.start(
                        node,
                        ManagedProcess.javaCommand(
                                mFiles.serverJar(),
                                jvmOptions,
                                List.of(role, "--settings", settings.toString())),
                        ready,
                        mFiles.log(node));
        mProcesses.put(node, process);
        return process;
    }

    private void addToHostList(
            String node, String role, String zone, String port, TargetSpec spec) {
        ObjectNode host = mMapper.createObjectNode();
        host.put("hostId", node);
        host.put("role", role);
        host.put("zone", zone);
        host.put("address", LOOPBACK);
        host.put("port", Integer.parseInt(port));
        host.put("target", spec.name());
        host.put("models", spec.models());
        host.put("service", spec.service());
        host.put("leaving", false);
        mHostListEntries.put(node, host);
    }

    private static URI loopback(String port) {
        return URI.create("http://" + LOOPBACK + ":" + port);
    }

    /**
     * Describes the target of a sidecar: either a model engine or a service.
     *
     * @param models names of the models, separated by commas; empty for a service
     * @param service name of the service; empty for a model engine
     */
    record TargetSpec(String name, String models, String service) {}
}
