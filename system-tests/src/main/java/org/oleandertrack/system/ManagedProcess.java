package org.oleandertrack.system;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A child process whose output is written to a log file, and which is ready once a line of its
 * output matches a pattern. Thread safe.
 */
public final class ManagedProcess implements AutoCloseable {

    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long STOP_TIMEOUT_SECONDS = 60;

    private final String mName;
    private final Process mProcess;
    private final CompletableFuture<Matcher> mReady = new CompletableFuture<>();

    private ManagedProcess(String name, Process process) {
        mName = name;
        mProcess = process;
    }

    // Life-cycle

    /**
     * Starts a process.
     *
     * @param ready pattern of the output line that the process prints when it is ready
     */
    public static ManagedProcess start(
            String name, List<String> command, Pattern ready, Path logFile) {
        return start(name, command, Map.of(), ready, logFile);
    }

    /**
     * Starts a process.
     *
     * @param environment additional environment variables
     * @param ready pattern of the output line that the process prints when it is ready
     */
    public static ManagedProcess start(
            String name,
            List<String> command,
            Map<String, String> environment,
            Pattern ready,
            Path logFile) {
        try {
            Files.createDirectories(logFile.getParent());
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("MALLOC_ARENA_MAX", "1");
            builder.environment().putAll(environment);
            Process process = builder.start();
            ManagedProcess managed = new ManagedProcess(name, process);
            Thread.ofPlatform()
                    .daemon()
                    .name("output-" + name)
                    .start(() -> managed.copyOutput(ready, logFile));
            return managed;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /** Returns the command line that runs a jar with the Java runtime of this process. */
    public static List<String> javaCommand(
            Path jar, List<String> jvmOptions, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        return command;
    }

    /**
     * Waits until the process is ready and returns the match of its ready line.
     *
     * @throws IllegalStateException if the process ends before it is ready, or is not ready in time
     */
    public Matcher awaitReady() {
        try {
            return mReady.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(mName + " did not become ready", e);
        }
    }

    /** Sends SIGTERM to the process, waits for its end and returns its exit code. */
    public int stop() {
        terminate();
        return awaitExit();
    }

    /** Sends SIGTERM to the process, without waiting for its end. */
    public void terminate() {
        resume();
        // Process.destroy would also close the output stream, which still has to be read.
        mProcess.toHandle().destroy();
    }

    /**
     * Waits for the end of the process and returns its exit code.
     *
     * @throws IllegalStateException if the process does not end in time
     */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mName + " did not end in time");
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Sends SIGKILL to the process and waits for its end. */
    public void kill() {
        mProcess.toHandle().destroyForcibly();
        awaitExit();
    }

    /** Suspends the process (SIGSTOP) until {@link #resume} is called. */
    public void freeze() {
        signal("STOP");
    }

    /** Requests the process to reload its settings (SIGHUP), if it is running. */
    public void reload() {
        if (mProcess.isAlive()) {
            signal("HUP");
        }
    }

    /** Resumes a suspended process (SIGCONT), if it is running. */
    public void resume() {
        if (mProcess.isAlive()) {
            signal("CONT");
        }
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            resume();
            kill();
        }
    }

    // Accessors

    public String name() {
        return mName;
    }

    public boolean isAlive() {
        return mProcess.isAlive();
    }

    public long pid() {
        return mProcess.pid();
    }

    // Helpers

    private void copyOutput(Pattern ready, Path logFile) {
        try (BufferedReader reader = mProcess.inputReader(StandardCharsets.UTF_8);
                var writer =
                        Files.newBufferedWriter(
                                logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                writer.write(line);
                writer.newLine();
                writer.flush();
                Matcher matcher = ready.matcher(line);
                if (!mReady.isDone() && matcher.find()) {
                    mReady.complete(matcher);
                }
            }
        } catch (IOException e) {
            mReady.completeExceptionally(e);
        }
        mReady.completeExceptionally(new IllegalStateException(mName + " ended; see " + logFile));
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
