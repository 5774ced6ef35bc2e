package org.oleandertrack.gateway.targets;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleandertrack.http.OutboundConnection;

/**
 * Connections to one target. Idle ones are kept for each event loop; the most recently used is
 * taken first, and one that may be near the target's own time-out is not used. Thread-safe; each
 * method that takes an event loop is called on it.
 */
public final class TargetConnections {

    // The network's round trip is a few milliseconds, and a lost opening packet is sent again only
    // after a second; a target that is dark is left sooner.
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    // Used when a target does not announce how long it keeps idle connections.
    private static final long DEFAULT_MAX_IDLE_MILLIS = 400;
    // Part of the announced time after which a connection is no longer trusted.
    private static final double IDLE_PART = 0.5;
    // A connection that is reset under a request that may not be repeated costs the request, so
    // such requests use only connections that have just been used.
    private static final long UNREPEATABLE_MAX_IDLE_MILLIS = 300;

    private final InetSocketAddress mRemote;
    private final Map<EventLoop, ArrayDeque<OutboundConnection>> mIdle = new ConcurrentHashMap<>();
    private final AtomicInteger mOpen = new AtomicInteger();

    /** Creates a pool without connections. */
    public TargetConnections(InetSocketAddress remote) {
        mRemote = remote;
    }

    /** Returns the number of connections that are open or being opened. */
    public int open() {
        return mOpen.get();
    }

    /** Takes an idle connection or starts to open one. */
    public OutboundConnection take(EventLoop loop, boolean repeatable) {
        ArrayDeque<OutboundConnection> idle = idleOf(loop);
        long nowNanos = System.nanoTime();
        while (!idle.isEmpty()) {
            OutboundConnection connection = idle.pollLast();
            long idleMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - connection.idleSinceNanos());
            if (!connection.isReusable() || idleMillis > maxIdleMillis(connection)) {
                connection.close();
                continue;
            }
            if (!repeatable && idleMillis > UNREPEATABLE_MAX_IDLE_MILLIS) {
                idle.addLast(connection);
                break;
            }
            return connection;
        }
        return open(loop);
    }

    /** Opens a connection, also if others are idle. */
    public OutboundConnection open(EventLoop loop) {
        mOpen.incrementAndGet();
        return OutboundConnection.open(
                loop, mRemote, CONNECT_TIMEOUT_MILLIS, mOpen::decrementAndGet);
    }

    /** Keeps a connection whose exchange has ended, if it can be used again. */
    public void giveBack(EventLoop loop, OutboundConnection connection) {
        if (connection.isReusable()) {
            idleOf(loop).addLast(connection);
        }
    }

    /** Closes the idle connections, of a target that gets no more work. */
    public void closeIdle() {
        mIdle.forEach(
                (loop, idle) ->
                        loop.execute(
                                () -> {
                                    idle.forEach(OutboundConnection::close);
                                    idle.clear();
                                }));
    }

    private ArrayDeque<OutboundConnection> idleOf(EventLoop loop) {
        return mIdle.computeIfAbsent(loop, key -> new ArrayDeque<>());
    }

    private static long maxIdleMillis(OutboundConnection connection) {
        return connection
                .announcedIdleMillis()
                .map(millis -> (long) (millis * IDLE_PART))
                .orElse(DEFAULT_MAX_IDLE_MILLIS);
    }
}
