package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;

/**
 * Runs a call here if this entry host holds its shard, otherwise passes it on to the holder. Thread
 * safe.
 */
final class CallRouter implements CallService {

    private static final long RETRY_AFTER_MILLIS = 500;

    /**
     * Covers a graceful hand-over and the opening of a connection, but not a lease that runs out.
     */
    private static final long MAX_WAIT_NANOS = 2_000_000_000L;

    private static final long POLL_NANOS = 50_000_000L;

    private final ShardDirectory mShards;
    private final HostDirectory mHosts;
    private final CallService mLocalCalls;
    private final Forwarder mForwarder;
    private final LongSupplier mNanoClock;

    CallRouter(
            ShardDirectory shards,
            HostDirectory hosts,
            CallService localCalls,
            Forwarder forwarder,
            LongSupplier nanoClock) {
        mShards = shards;
        mHosts = hosts;
        mLocalCalls = localCalls;
        mForwarder = forwarder;
        mNanoClock = nanoClock;
    }

    // Operations

    @Override
    public void run(CallerRequest request, ResponseSink sink) {
        int shard = mShards.shardOf(request);
        long deadlineNanos = mNanoClock.getAsLong() + MAX_WAIT_NANOS;
        while (true) {
            try {
                route(request, shard, sink);
                return;
            } catch (ResultException e) {
                if (!isBetweenHolders(e, sink) || mNanoClock.getAsLong() >= deadlineNanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    // Helpers

    /** While a shard moves or a connection is opened, a call waits a little instead of failing. */
    private static boolean isBetweenHolders(ResultException failure, ResponseSink sink) {
        boolean noHolder =
                failure.code() == ResultCode.NOT_SHARD_HOLDER
                        || failure.code() == ResultCode.HOLDER_UNREACHABLE;
        return noHolder
                && failure.execution() == Execution.NOT_RUN
                && sink.isUncommitted()
                && !sink.cancelled().isDone();
    }

    private void route(CallerRequest request, int shard, ResponseSink sink) {
        if (!mShards.needsHolder(request) || mShards.isHeldHere(shard)) {
            mLocalCalls.run(request, sink);
            return;
        }
        Optional<String> holder = mShards.holder(shard);
        if (holder.isEmpty()) {
            throw refusal(ResultCode.NOT_SHARD_HOLDER, "shard " + shard + " has no holder now");
        }
        Optional<PeerConnection> connection = mHosts.entryHost(holder.get());
        if (connection.isEmpty()) {
            throw refusal(
                    ResultCode.HOLDER_UNREACHABLE,
                    "shard " + shard + " is held by " + holder.get() + ", which is not connected");
        }
        forward(request, shard, connection.get(), sink);
    }

    private void forward(
            CallerRequest request, int shard, PeerConnection connection, ResponseSink sink) {
        long deadlineNanos = Deadlines.after(mNanoClock.getAsLong(), request.timeoutMillis());
        var head =
                CallHeads.toBuilder(request)
                        .setForwarded(true)
                        .setShard(shard)
                        .setReceiverIncarnation(connection.peer().getIncarnation())
                        .setStartDeadlineReceiverNanos(connection.toPeerNanos(deadlineNanos))
                        .build();
        mForwarder.run(connection, head, request.body(), request.timeoutMillis(), sink);
    }

    private static ResultException refusal(ResultCode code, String message) {
        return new ResultException(code, Execution.NOT_RUN, message, RETRY_AFTER_MILLIS);
    }
}
