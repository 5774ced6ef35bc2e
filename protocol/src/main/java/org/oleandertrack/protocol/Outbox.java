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
 * Sending side of a connection. Operations submitted by any thread run on the I/O thread in the
 * order of their submission; one flush follows each batch, so that many small frames share a system
 * call. Bodies are sent part by part in turn, so that a long one does not hold up short ones.
 */
final class Outbox {

    /** Operations run before the I/O thread turns to reading and to other connections. */
    private static final int MAX_BATCH = 512;

    private final Channel mChannel;
    private final int mMaxUnsentBytes;
    private final Queue<Runnable> mOperations = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mDrainScheduled = new AtomicBoolean();
    private final ReentrantLock mDrainLock = new ReentrantLock();
    private final AtomicLong mUnsentBytes = new AtomicLong();

    // Used on the I/O thread only.
    private final Queue<BodySource> mBodies = new ArrayDeque<>();
    private long mChannelBytes;
    private long mWrittenFrames;

    Outbox(Channel channel, int maxUnsentBytes) {
        mChannel = channel;
        mMaxUnsentBytes = maxUnsentBytes;
    }

    // Accounting.

    /** Counts bytes that wait to be sent; returns false, counting nothing, above the limit. */
    boolean reserve(long bytes) {
        if (mUnsentBytes.addAndGet(bytes) > mMaxUnsentBytes) {
            mUnsentBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Returns the reservation of bytes that will not be sent. */
    void release(long bytes) {
        mUnsentBytes.addAndGet(-bytes);
    }

    long unsentBytes() {
        return mUnsentBytes.get();
    }

    /** Returns true if frames wait for the socket. Called on the I/O thread. */
    boolean hasPendingWrites() {
        return mChannelBytes > 0;
    }

    /** Returns how many frames the socket has taken. Called on the I/O thread. */
    long writtenFrames() {
        return mWrittenFrames;
    }

    // Operations.

    /** Runs an operation on the I/O thread after all those submitted before it. */
    void submit(Runnable operation) {
        mOperations.add(operation);
        scheduleDrain();
    }

    /** Writes a frame whose bytes are reserved. Called on the I/O thread. */
    ChannelFuture write(Frame frame, long reservedBytes) {
        mChannelBytes += reservedBytes;
        ChannelFuture written = mChannel.write(frame);
        written.addListener(
                done -> {
                    mChannelBytes -= reservedBytes;
                    release(reservedBytes);
                    if (done.isSuccess()) {
                        mWrittenFrames++;
                    }
                });
        return written;
    }

    /** Lets a body send parts when it is its turn. Called on the I/O thread. */
    void addBody(BodySource body) {
        mBodies.add(body);
    }

    /** Sends parts of bodies until the socket is busy, then flushes. Called on the I/O thread. */
    void pump() {
        while (mChannel.isWritable()) {
            BodySource body = mBodies.poll();
            if (body == null) {
                break;
            }
            if (body.sendPart()) {
                mBodies.add(body);
            }
        }
        mChannel.flush();
    }

    private void scheduleDrain() {
        if (!mDrainScheduled.compareAndSet(false, true)) {
            return;
        }
        try {
            mChannel.eventLoop().execute(this::drain);
        } catch (RejectedExecutionException e) {
            // The I/O threads have stopped, so the channel is closed and operations only report it.
            drain();
        }
    }

    private void drain() {
        mDrainLock.lock();
        try {
            mDrainScheduled.set(false);
            for (int i = 0; i < MAX_BATCH; i++) {
                Runnable operation = mOperations.poll();
                if (operation == null) {
                    break;
                }
                run(operation);
            }
            pump();
        } finally {
            mDrainLock.unlock();
        }
        if (!mOperations.isEmpty()) {
            scheduleDrain();
        }
    }

    private static void run(Runnable operation) {
        try {
            operation.run();
        } catch (RuntimeException e) {
            Logger.error(e, "an operation on a connection failed");
        }
    }
}
