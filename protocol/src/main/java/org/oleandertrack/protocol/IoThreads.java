package org.oleandertrack.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Creates and stops the threads that serve connections. */
final class IoThreads {

    /** Two keep one busy connection from delaying all others; sidecars have one core or two. */
    private static final int THREADS = 2;

    private static final int STOP_SECONDS = 5;

    private IoThreads() {}

    static EventLoopGroup start(String name) {
        return new MultiThreadIoEventLoopGroup(
                THREADS, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Stops the threads and, unless called on one of them, waits for their end. */
    static void stop(EventLoopGroup group) {
        Future<?> stopped = group.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS);
        if (!isIoThread(group)) {
            stopped.awaitUninterruptibly(STOP_SECONDS, TimeUnit.SECONDS);
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
