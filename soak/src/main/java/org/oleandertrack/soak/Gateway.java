package org.oleandertrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.oleandertrack.standins.published.PublishedSettings;
import org.oleandertrack.system.ManagedProcess;

/** A gateway process that reaches the store through a proxy of its own. Thread-safe. */
final class Gateway implements AutoCloseable {

    private static final Pattern STARTED_LINE = Pattern.compile("\"message\":\"started\"");
    private static final int READINESS_TIMEOUT_MILLIS = 500;

    private final String mName;
    private final String mAddress;
    private final Path mJar;
    private final Path mFolder;
    private final FaultProxy mStoreProxy;
    private ManagedProcess mProcess;
    private boolean mEndRequested;
    private boolean mFrozen;
    private long mResumedNanos = System.nanoTime();

    Gateway(String name, String address, List<String> peers, Path jar, Path folder, int storePort)
            throws IOException {
        mName = name;
        mAddress = address;
        mJar = jar;
        mFolder = folder;
        mStoreProxy = new FaultProxy(storePort);
        Files.createDirectories(folder);
        Files.writeString(
                settingsFile(),
                new PublishedSettings(name, address, peers, mStoreProxy.port()).toToml());
    }

    // Life-cycle

    synchronized void start() {
        mEndRequested = false;
        mFrozen = false;
        mProcess =
                ManagedProcess.start(
                        mName,
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx64m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                mJar.toString()),
                        Map.of(PublishedSettings.PATH_VARIABLE, settingsFile().toString()),
                        STARTED_LINE,
                        mFolder.resolve(mName + ".log"));
    }

    /** Starts a new process unless there is one. */
    synchronized void restart() {
        if (!mProcess.isAlive()) {
            start();
        }
    }

    /** Kills the process. */
    synchronized void kill() {
        mEndRequested = true;
        mProcess.kill();
    }

    /** Requests the process to end (SIGTERM), and returns it. */
    synchronized ManagedProcess terminate() {
        mEndRequested = true;
        resume();
        mProcess.terminate();
        return mProcess;
    }

    synchronized void freeze() {
        mFrozen = true;
        mProcess.freeze();
    }

    synchronized void resume() {
        if (mFrozen) {
            mResumedNanos = System.nanoTime();
        }
        mFrozen = false;
        mProcess.resume();
    }

    @Override
    public synchronized void close() {
        mProcess.close();
        try {
            mStoreProxy.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Accessors

    String name() {
        return mName;
    }

    String address() {
        return mAddress;
    }

    FaultProxy storeProxy() {
        return mStoreProxy;
    }

    synchronized ManagedProcess process() {
        return mProcess;
    }

    /** Returns whether the process has ended although nobody requested it. */
    synchronized boolean hasEndedByItself() {
        return !mProcess.isAlive() && !mEndRequested;
    }

    /** Returns whether the process was frozen at the given time or later. */
    synchronized boolean wasFrozenSince(long nanos) {
        return mFrozen || mResumedNanos > nanos;
    }

    /** Returns whether the readiness check of the process responds with status 200. */
    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create(
                                            "http://"
                                                    + mAddress
                                                    + ":"
                                                    + PublishedSettings.READINESS_PORT
                                                    + "/readiness")
                                    .toURL()
                                    .openConnection();
            connection.setConnectTimeout(READINESS_TIMEOUT_MILLIS);
            connection.setReadTimeout(READINESS_TIMEOUT_MILLIS);
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    // Helpers

    private Path settingsFile() {
        return mFolder.resolve(mName + ".toml");
    }
}
