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
 * A deployment on loopback: platform, targets, sidecars and entry hosts, each its own process.
 * Processes listen on free ports, and the host list is filled in from what they report. Not thread
 * safe.
 */
public final class LocalDeployment implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final Pattern STANDIN_READY = Pattern.compile("^ready (\\d+)");
    private static final Pattern SIDECAR_READY =
            Pattern.compile("listening as sidecar .*peerPort=(\\d+) adminPort=(\\d+)");
    private static final Pattern ENTRY_READY =
            Pattern.compile(
                    "listening as entry host .*httpPort=(\\d+) adminPort=(\\d+) peerPort=(\\d+)");

    /** The exit code that the JVM reports for an orderly end after SIGTERM. */
    private static final int TERMINATED = 143;

    private final DeploymentFiles mFiles;
    private final HttpCaller mHttp;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, ManagedProcess> mProcesses = new LinkedHashMap<>();
    private final Map<String, ObjectNode> mHosts = new LinkedHashMap<>();

    /** Concurrent, because background callers read it while a node starts again. */
    private final Map<String, URI> mAddresses = new ConcurrentHashMap<>();

    private final Map<String, URI> mAdminAddresses = new ConcurrentHashMap<>();
    private final Map<String, TargetSpec> mTargets = new LinkedHashMap<>();
    private final Map<String, Runnable> mStarting = new LinkedHashMap<>();
    private final Map<String, Runnable> mLaunches = new LinkedHashMap<>();
    private String mExtraEntrySettings = "";
    private String mExtraSidecarSettings = "";

    /** Creates a deployment that keeps settings and logs in the given folder. */
    public LocalDeployment(DeploymentFiles files, HttpCaller http) {
        mFiles = files;
        mHttp = http;
    }

    // Life-cycle

    /** Starts the platform's stand-in. */
    public void startPlatform() {
        mAddresses.put("platform", startStandin("platform", List.of("platform")));
    }

    /** Starts a model engine stand-in with the given extra arguments. */
    public void startEngine(String name, String models, String... arguments) {
        List<String> command = new ArrayList<>(List.of("engine", "--models", models));
        command.addAll(List.of(arguments));
        mAddresses.put(name, startStandin(name, command));
        mTargets.put(name, new TargetSpec(name, models, ""));
    }

    /** Starts a plain service stand-in with the given extra arguments. */
    public void startService(String name, String service, String... arguments) {
        List<String> command = new ArrayList<>(List.of("service"));
        command.addAll(List.of(arguments));
        mAddresses.put(name, startStandin(name, command));
        mTargets.put(name, new TargetSpec(name, "", service));
    }

    /** Starts the process beside a target; {@link #publishHosts} waits until it serves. */
    public void startSidecar(String node, String zone, String target) {
        TargetSpec spec = mTargets.get(target);
        Path settings =
                mFiles.write(
                        node + ".toml",
                        SettingsText.sidecar(node, zone, spec, mAddresses.get(target))
                                + mExtraSidecarSettings);
        launch(node, () -> launchSidecar(node, zone, spec, settings));
    }

    /** Starts an entry host; {@link #publishHosts} waits until it serves. */
    public void startEntry(String node, String zone) {
        Path settings =
                mFiles.write(
                        node + ".toml",
                        SettingsText.entry(node, zone, mAddresses.get("platform"))
                                + mExtraEntrySettings);
        launch(node, () -> launchEntry(node, zone, settings));
    }

    /**
     * Starts a daemon again with the settings of its first start and lists its new ports. A daemon
     * that runs is stopped before.
     */
    public void restart(String node) {
        stop(node);
        mLaunches.get(node).run();
        publishHosts();
    }

    /** Stops a process if it runs; fails if it ends with an error. */
    public void stop(String name) {
        ManagedProcess process = mProcesses.remove(name);
        if (process != null && process.isAlive()) {
            checkExit(name, process.stop());
        }
    }

    /** Waits for the end of a process that was asked to stop; fails if it ends with an error. */
    public void awaitExit(String name) {
        checkExit(name, mProcesses.get(name).awaitExit());
    }

    /** Stops all processes in the reverse order of their start; fails if one ends with an error. */
    public void stopAll() {
        List<String> names = new ArrayList<>(mProcesses.keySet());
        for (String name : names.reversed()) {
            stop(name);
        }
    }

    @Override
    public void close() {
        mStarting.clear();
        mProcesses.values().forEach(ManagedProcess::close);
        mProcesses.clear();
    }

    // Operations

    /** Sets TOML text that is appended to the settings of entry hosts started afterwards. */
    public void appendToEntrySettings(String toml) {
        mExtraEntrySettings = toml;
    }

    /** Sets TOML text that is appended to the settings of sidecars started afterwards. */
    public void appendToSidecarSettings(String toml) {
        mExtraSidecarSettings = toml;
    }

    /** Waits for the processes that start and sends the host list to the platform's stand-in. */
    public void publishHosts() {
        mStarting.values().forEach(Runnable::run);
        mStarting.clear();
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode hosts = body.putArray("hosts");
        mHosts.values().forEach(hosts::add);
        body.put("lagMillis", 0);
        mHttp.postJson(address("platform").resolve("/control/hosts"), body.toString());
    }

    /** Marks a host as leaving in the platform's list, without telling the host. */
    public void markLeaving(String node) {
        mHosts.get(node).put("leaving", true);
        publishHosts();
    }

    /** Waits until an entry host is ready for work. */
    public void awaitReady(String entryNode) {
        mHttp.awaitStatus(mAdminAddresses.get(entryNode).resolve("/ready"), 200);
    }

    /** Sends a control command to a stand-in. */
    public String control(String name, String path, String json) {
        return mHttp.postJson(address(name).resolve(path), json);
    }

    // Accessors

    /** Returns the HTTP address of a stand-in or of an entry host. */
    public URI address(String name) {
        return mAddresses.get(name);
    }

    /** Returns the administration address of a daemon. */
    public URI adminAddress(String name) {
        return mAdminAddresses.get(name);
    }

    /** Returns a process that was started and not stopped. */
    public ManagedProcess process(String name) {
        ManagedProcess process = mProcesses.get(name);
        if (process == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return process;
    }

    /** Returns whether a process was started and has not ended. */
    public boolean isAlive(String name) {
        ManagedProcess process = mProcesses.get(name);
        return process != null && process.isAlive();
    }

    /** Returns the log file of a process, which all its starts share. */
    public Path log(String name) {
        return mFiles.log(name);
    }

    // Helpers

    private void launch(String node, Runnable launch) {
        mLaunches.put(node, launch);
        launch.run();
    }

    private void launchSidecar(String node, String zone, TargetSpec spec, Path settings) {
        ManagedProcess process =
                startServer(node, "sidecar", settings, SIDECAR_READY, JvmOptions.SIDECAR);
        mStarting.put(
                node,
                () -> {
                    Matcher ready = process.awaitReady();
                    mAdminAddresses.put(node, loopback(ready.group(2)));
                    list(node, "SIDECAR", zone, ready.group(1), spec);
                });
    }

    private void launchEntry(String node, String zone, Path settings) {
        ManagedProcess process =
                startServer(node, "entry", settings, ENTRY_READY, JvmOptions.ENTRY);
        mStarting.put(
                node,
                () -> {
                    Matcher ready = process.awaitReady();
                    mAddresses.put(node, loopback(ready.group(1)));
                    mAdminAddresses.put(node, loopback(ready.group(2)));
                    list(node, "ENTRY", zone, ready.group(3), new TargetSpec("", "", ""));
                });
    }

    private static void checkExit(String name, int exitCode) {
        if (exitCode != 0 && exitCode != TERMINATED) {
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

    private ManagedProcess startServer(
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

    private void list(String node, String role, String zone, String port, TargetSpec spec) {
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
        mHosts.put(node, host);
    }

    private static URI loopback(String port) {
        return URI.create("http://" + LOOPBACK + ":" + port);
    }

    /** What stands behind a sidecar. */
    record TargetSpec(String name, String models, String service) {}
}
