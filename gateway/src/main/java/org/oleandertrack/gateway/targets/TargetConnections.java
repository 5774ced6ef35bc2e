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
 * Pool of connections to one target. Idle connections are kept for each event loop and reused most
 * recently used first, unless the target may be about to close them. Thread-safe; a method with an
 * event loop as parameter must be called on that loop.
 */
public final class TargetConnections {

    // A round trip takes a few milliseconds, but TCP resends a lost SYN only after one second. The
    // connection attempt is given up earlier, so that another target is tried sooner.
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    // Used for targets that do not announce their idle timeout in Keep-Alive.
    private static final long DEFAULT_MAX_IDLE_MILLIS = 400;
    // A connection is reused only within this fraction of the announced idle timeout, because the
    // target may be closing it afterwards.
    private static final double REUSABLE_IDLE_FRACTION = 0.5;
    // A reset of the connection fails a request that may not be repeated, so such a request uses
    // only connections that were idle for a short time.
    private static final long UNREPEATABLE_MAX_IDLE_MILLIS = 300;

    private final InetSocketAddress mRemote;
    private final Map<EventLoop, ArrayDeque<OutboundConnection>> mIdleConnections =
            new ConcurrentHashMap<>();
    private final AtomicInteger mOpenCount = new AtomicInteger();

    /** Creates an empty pool. */
    public TargetConnections(InetSocketAddress remote) {
        mRemote = remote;
    }

    /** Returns the address of the target. */
    public InetSocketAddress remote() {
        return mRemote;
    }

    /** Returns the number of connections that are open or being opened. */
    public int openCount() {
        return mOpenCount.get();
    }

    /**
     * Removes an idle connection from the pool, or starts to open a new one.
     *
     * @param repeatable whether the request can be sent again if the connection is reset
     */
    public OutboundConnection acquire(EventLoop loop, boolean repeatable) {
        ArrayDeque<OutboundConnection> idle = idleConnectionsOf(loop);
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

    /** Starts to open a new connection, even if there are idle ones. */
    public OutboundConnection open(EventLoop loop) {
        mOpenCount.incrementAndGet();
        return OutboundConnection.open(
                loop, mRemote, CONNECT_TIMEOUT_MILLIS, mOpenCount::decrementAndGet);
    }

    /** Returns a connection whose exchange has ended to the pool, if it is reusable. */
    public void release(EventLoop loop, OutboundConnection connection) {
        if (connection.isReusable()) {
            idleConnectionsOf(loop).addLast(connection);
        }
    }

    /** Closes the idle connections. Called when the target gets no new requests. */
    public void closeIdle() {
        mIdleConnections.forEach(
                (loop, idle) ->
                        loop.execute(
                                () -> {
                                    idle.forEach(OutboundConnection::close);
                                    idle.clear();
                                }));
    }

    private ArrayDeque<OutboundConnection> idleConnectionsOf(EventLoop loop) {
        return mIdleConnections.computeIfAbsent(loop, key -> new ArrayDeque<>());
    }

    private static long maxIdleMillis(OutboundConnection connection) {
        return connection
                .announcedIdleTimeoutMillis()
                .map(millis -> (long) (millis * REUSABLE_IDLE_FRACTION))
                .orElse(DEFAULT_MAX_IDLE_MILLIS);
    }
}
