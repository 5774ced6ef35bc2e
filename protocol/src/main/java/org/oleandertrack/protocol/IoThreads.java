package org.oleandertrack.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Creates and stops the event loop threads of a server or connector. */
final class IoThreads {

    /**
     * With two threads, a busy connection does not delay all others. More are of no use to
     * sidecars, which have one core or two.
     */
    private static final int THREAD_COUNT = 2;

    private static final int STOP_TIMEOUT_SECONDS = 5;

    private IoThreads() {}

    static EventLoopGroup start(String name) {
        return new MultiThreadIoEventLoopGroup(
                THREAD_COUNT, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Stops the threads and waits for them to end, unless called on one of them. */
    static void stop(EventLoopGroup group) {
        Future<?> stopped = group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!isIoThread(group)) {
            stopped.awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Returns true if the current thread is one of the group's. */
    static boolean isIoThread(EventLoopGroup group) {
        for (EventExecutor executor : group) {
            if (executor.inEventLoop()) {
                return true;
            }
        }
        return false;
    }
}
