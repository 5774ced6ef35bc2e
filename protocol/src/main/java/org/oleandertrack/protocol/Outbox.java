package org.oleandertrack.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.oleandertrack.protocol.message.Frame;
import org.tinylog.Logger;

/**
 * Sending side of a connection. Operations submitted by any thread run on the I/O thread in
 * submission order. The channel is flushed once after each batch of operations, so that many small
 * frames share a system call. Queued bodies send one frame each in round-robin order, so that a
 * long body does not delay short ones.
 */
final class Outbox {

    /** Operations run in a batch before the I/O thread reads or serves other connections. */
    private static final int MAX_OPERATIONS_PER_BATCH = 512;

    private final Channel mChannel;
    private final int mMaxUnsentBytes;
    private final Queue<Runnable> mOperations = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mRunScheduled = new AtomicBoolean();
    private final ReentrantLock mRunLock = new ReentrantLock();
    private final AtomicLong mUnsentBytes = new AtomicLong();

    // Used on the I/O thread only.
    private final Queue<BodySource> mBodies = new ArrayDeque<>();
    private long mPendingWriteBytes;
    private long mWrittenFrames;

    Outbox(Channel channel, int maxUnsentBytes) {
        mChannel = channel;
        mMaxUnsentBytes = maxUnsentBytes;
    }

    // Accounting.

    /**
     * Adds bytes to the unsent bytes. Returns false and adds nothing if the total would exceed the
     * limit.
     */
    boolean reserveBytes(long bytes) {
        if (mUnsentBytes.addAndGet(bytes) > mMaxUnsentBytes) {
            mUnsentBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Subtracts bytes that have been sent or will not be sent from the unsent bytes. */
    void releaseBytes(long bytes) {
        mUnsentBytes.addAndGet(-bytes);
    }

    /** Returns the reserved bytes that have been neither sent nor released. */
    long unsentBytes() {
        return mUnsentBytes.get();
    }

    /**
     * Returns true if frames are written to the channel but not yet to the socket. Called on the
     * I/O thread.
     */
    boolean hasPendingWrites() {
        return mPendingWriteBytes > 0;
    }

    /** Returns the number of frames written to the socket. Called on the I/O thread. */
    long writtenFrames() {
        return mWrittenFrames;
    }

    // Operations.

    /** Runs an operation on the I/O thread after all those submitted before it. */
    void submit(Runnable operation) {
        mOperations.add(operation);
        scheduleOperations();
    }

    /**
     * Writes a frame for which bytes were reserved, and releases them afterwards. Called on the I/O
     * thread.
     */
    ChannelFuture write(Frame frame, long reservedBytes) {
        mPendingWriteBytes += reservedBytes;
        ChannelFuture written = mChannel.write(frame);
        written.addListener(
                done -> {
                    mPendingWriteBytes -= reservedBytes;
                    releaseBytes(reservedBytes);
                    if (done.isSuccess()) {
                        mWrittenFrames++;
                    }
                });
        return written;
    }

    /** Adds a body to those that send frames in round-robin order. Called on the I/O thread. */
    void queueBody(BodySource body) {
        mBodies.add(body);
    }

    /** Sends body frames while the channel is writable, then flushes. Called on the I/O thread. */
    void sendBodiesAndFlush() {
        while (mChannel.isWritable()) {
            BodySource body = mBodies.poll();
            if (body == null) {
                break;
            }
            if (body.sendNextFrame()) {
                mBodies.add(body);
            }
        }
        mChannel.flush();
    }

    private void scheduleOperations() {
        if (!mRunScheduled.compareAndSet(false, true)) {
            return;
        }
        try {
            mChannel.eventLoop().execute(this::runOperations);
        } catch (RejectedExecutionException e) {
            // The I/O threads have stopped, so the channel is closed. The operations find that out
            // and report it to their callers.
            runOperations();
        }
    }

    private void runOperations() {
        mRunLock.lock();
        try {
            mRunScheduled.set(false);
            for (int i = 0; i < MAX_OPERATIONS_PER_BATCH; i++) {
                Runnable operation = mOperations.poll();
                if (operation == null) {
                    break;
                }
                run(operation);
            }
            sendBodiesAndFlush();
        } finally {
            mRunLock.unlock();
        }
        if (!mOperations.isEmpty()) {
            scheduleOperations();
        }
    }

    private static void run(Runnable operation) {
        try {
            operation.run();
        } catch (RuntimeException e) {
            Logger.error(e, "an operation on a connection failed; the next ones still run");
        }
    }
}
