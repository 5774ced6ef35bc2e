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
 * Writes log lines without blocking the threads that log. Lines are queued in a bounded buffer and
 * written by one background thread. Lines that do not fit into the buffer are dropped; a later line
 * contains their number. Thread-safe.
 */
public final class LineOutput {

    // Holds the lines of several seconds at a host's peak load.
    private static final int MAX_QUEUED_BYTES = 1024 * 1024;
    // Lines are collected for this time before they are written, to save system calls.
    private static final long COLLECT_MILLIS = 50;

    private final OutputStream mOutput;
    private final int mMaxQueuedBytes;
    private final ArrayDeque<byte[]> mQueue = new ArrayDeque<>();
    private final Thread mWriterThread;
    private int mQueuedBytes;
    private long mDroppedLines;
    private boolean mWriteFailed;
    private boolean mShuttingDown;

    // Life-cycle

    /**
     * Creates an output and starts its thread.
     *
     * @param output stream to write to
     * @param maxQueuedBytes size of the buffer in bytes
     */
    public LineOutput(OutputStream output, int maxQueuedBytes) {
        mOutput = output;
        mMaxQueuedBytes = maxQueuedBytes;
        mWriterThread = Thread.ofPlatform().name("log-writer").daemon().unstarted(this::writeLoop);
        mWriterThread.start();
    }

    /** Returns the instance that writes to the standard output of this process. */
    public static LineOutput standardOutput() {
        return StandardOutputHolder.INSTANCE;
    }

    // Operations

    /**
     * Queues a line, which must end with a line feed. Drops it if the buffer is full or writing has
     * failed.
     */
    public synchronized void offer(byte[] line) {
        if (mQueuedBytes + line.length > mMaxQueuedBytes || mWriteFailed) {
            mDroppedLines++;
            return;
        }
        if (mQueue.isEmpty()) {
            notifyAll();
        }
        mQueue.add(line);
        mQueuedBytes += line.length;
        if (mShuttingDown) {
            flush();
        }
    }

    /** Writes all queued lines. Blocks until they are written. */
    public void flush() {
        write(takeQueued());
    }

    // Helpers

    // The background thread may no longer run during shutdown, so from then on each line is written
    // immediately.
    private synchronized void shutDown() {
        mShuttingDown = true;
        flush();
    }

    private void writeLoop() {
        try {
            while (true) {
                awaitLines();
                Thread.sleep(COLLECT_MILLIS);
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
        if (mDroppedLines > 0) {
            String notice =
                    "{\"time\":\"%s\",\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":%d}\n"
                            .formatted(Instant.now(), mDroppedLines);
            lines.writeBytes(notice.getBytes(StandardCharsets.UTF_8));
            mDroppedLines = 0;
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
                // Nothing can be reported: the log output itself has failed.
                synchronized (this) {
                    mWriteFailed = true;
                }
            }
        }
    }

    /** Holder that creates the instance on first use. */
    private static final class StandardOutputHolder {
        private static final LineOutput INSTANCE =
                new LineOutput(new FileOutputStream(FileDescriptor.out), MAX_QUEUED_BYTES);

        static {
            Runtime.getRuntime().addShutdownHook(new Thread(INSTANCE::shutDown, "log-end"));
        }
    }
}
