package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;

/**
 * Runs a call in this process if it needs no shard holder or if this process holds its shard;
 * otherwise forwards it to the holder. Thread safe.
 */
final class CallRouter implements CallService {

    private static final long RETRY_AFTER_MILLIS = 500;

    /**
     * How long a call waits until its holder can be reached. Long enough for a graceful handover of
     * the shard or for a new connection, but shorter than the expiry of a failed holder's lease.
     */
    private static final long MAX_HOLDER_WAIT_NANOS = 2_000_000_000L;

    private static final long HOLDER_RETRY_INTERVAL_NANOS = 50_000_000L;

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
        long holderDeadlineNanos = mNanoClock.getAsLong() + MAX_HOLDER_WAIT_NANOS;
        while (true) {
            try {
                route(request, shard, sink);
                return;
            } catch (ResultException e) {
                if (!canWaitForHolder(e, sink) || mNanoClock.getAsLong() >= holderDeadlineNanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(HOLDER_RETRY_INTERVAL_NANOS);
        }
    }

    // Helpers

    /**
     * Tells whether a call can wait for its holder: the shard is being handed over or the
     * connection to its holder is not open yet, nothing was run, and the caller still waits.
     */
    private static boolean canWaitForHolder(ResultException failure, ResponseSink sink) {
        boolean isHolderUnavailable =
                failure.code() == ResultCode.NOT_SHARD_HOLDER
                        || failure.code() == ResultCode.HOLDER_UNREACHABLE;
        return isHolderUnavailable
                && failure.execution() == Execution.NOT_RUN
                && sink.isUnsent()
                && !sink.cancelled().isDone();
    }

    private void route(CallerRequest request, int shard, ResponseSink sink) {
        if (!mShards.needsHolder(request) || mShards.isHeldHere(shard)) {
            mLocalCalls.run(request, sink);
            return;
        }
        Optional<String> holder = mShards.holder(shard);
        if (holder.isEmpty()) {
            throw refusal(
                    ResultCode.NOT_SHARD_HOLDER, "shard " + shard + " has no holder at present");
        }
        Optional<PeerConnection> connection = mHosts.entryConnection(holder.get());
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
                CallHeadConverter.toBuilder(request)
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
