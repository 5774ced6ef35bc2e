package org.oleandertrack.telemetry.logging;

import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * Writes log lines without ever making their author wait. Lines queue up in a bounded buffer, which
 * one thread writes; lines that find it full are dropped and counted, and a line with their number
 * follows. Thread-safe.
 */
public final class LineOutput {

    // A megabyte holds some seconds of lines at a host's peak load.
    private static final int MAX_QUEUED_BYTES = 1024 * 1024;
    // Lines are gathered for this long before they are written, to save system calls.
    private static final long GATHER_MILLIS = 50;

    private final OutputStream mOutput;
    private final int mMaxQueuedBytes;
    private final ArrayDeque<byte[]> mQueue = new ArrayDeque<>();
    private final Thread mWriter;
    private int mQueuedBytes;
    private long mDropped;
    private boolean mFailed;
    private boolean mEnding;

    // Life-cycle

    /** Creates an output and starts its thread. */
    public LineOutput(OutputStream output, int maxQueuedBytes) {
        mOutput = output;
        mMaxQueuedBytes = maxQueuedBytes;
        mWriter = Thread.ofPlatform().name("log-writer").daemon().unstarted(this::writeLoop);
        mWriter.start();
    }

    /** Returns the output to the standard output of this process. */
    public static LineOutput standardOutput() {
        return StandardOutput.INSTANCE;
    }

    // Operations

    /** Queues a line, which ends with a line feed. */
    public synchronized void offer(byte[] line) {
        if (mQueuedBytes + line.length > mMaxQueuedBytes || mFailed) {
            mDropped++;
            return;
        }
        if (mQueue.isEmpty()) {
            notifyAll();
        }
        mQueue.add(line);
        mQueuedBytes += line.length;
        if (mEnding) {
            flush();
        }
    }

    /** Writes what is queued, before the process ends. */
    public void flush() {
        write(takeQueued());
    }

    // Helpers

    // While the process ends, the thread may no longer run, so each line is written at once.
    private synchronized void end() {
        mEnding = true;
        flush();
    }

    private void writeLoop() {
        try {
            while (true) {
                awaitLines();
                Thread.sleep(GATHER_MILLIS);
                write(takeQueued());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitLines() throws InterruptedException {
        while (mQueue.isEmpty()) {
            wait();
        }
    }

    private synchronized byte[] takeQueued() {
        ByteArrayOutputStream lines = new ByteArrayOutputStream(mQueuedBytes + 128);
        mQueue.forEach(lines::writeBytes);
        mQueue.clear();
        mQueuedBytes = 0;
        if (mDropped > 0) {
            String note =
                    "{\"time\":\"%s\",\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n"
                            .formatted(Instant.now(), mDropped);
            lines.writeBytes(note.getBytes(StandardCharsets.UTF_8));
            mDropped = 0;
        }
        return lines.toByteArray();
    }

    private void write(byte[] lines) {
        if (lines.length == 0) {
            return;
        }
        synchronized (mOutput) {
            try {
                mOutput.write(lines);
                mOutput.flush();
            } catch (IOException e) {
                // The place to report it is the one that failed.
                synchronized (this) {
                    mFailed = true;
                }
            }
        }
    }

    /** Created at the first use. */
    private static final class StandardOutput {
        private static final LineOutput INSTANCE =
                new LineOutput(new FileOutputStream(FileDescriptor.out), MAX_QUEUED_BYTES);

        static {
            Runtime.getRuntime().addShutdownHook(new Thread(INSTANCE::end, "log-end"));
        }
    }
}
