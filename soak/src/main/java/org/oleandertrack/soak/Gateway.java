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

/** One gateway process with its own way to the store. Thread-safe. */
final class Gateway implements AutoCloseable {

    private static final Pattern STARTED = Pattern.compile("\"message\":\"started\"");
    private static final int ASK_MILLIS = 500;

    private final String mName;
    private final String mAddress;
    private final Path mJar;
    private final Path mFolder;
    private final FaultProxy mStorePath;
    private ManagedProcess mProcess;

    Gateway(String name, String address, List<String> peers, Path jar, Path folder, int storePort)
            throws IOException {
        mName = name;
        mAddress = address;
        mJar = jar;
        mFolder = folder;
        mStorePath = new FaultProxy(storePort);
        Files.createDirectories(folder);
        Files.writeString(
                settings(),
                new PublishedSettings(name, address, peers, mStorePath.port()).toToml());
    }

    // Life-cycle

    synchronized void start() {
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
                        Map.of(PublishedSettings.PATH_VARIABLE, settings().toString()),
                        STARTED,
                        mFolder.resolve(mName + ".log"));
    }

    @Override
    public synchronized void close() {
        mProcess.close();
        try {
            mStorePath.close();
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

    FaultProxy storePath() {
        return mStorePath;
    }

    synchronized ManagedProcess process() {
        return mProcess;
    }

    /** Returns whether the process says that it may get connections. */
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
            connection.setConnectTimeout(ASK_MILLIS);
            connection.setReadTimeout(ASK_MILLIS);
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    // Helpers

    private Path settings() {
        return mFolder.resolve(mName + ".toml");
    }
}
