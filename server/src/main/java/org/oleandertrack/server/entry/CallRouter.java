package org.oleandertrack.server.entry;

import java.util.Optional;
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

    // Helpers

    private void forward(
            CallerRequest request, int shard, PeerConnection connection, ResponseSink sink) {
        long deadlineNanos =
                Dispatcher.deadlineNanos(mNanoClock.getAsLong(), request.timeoutMillis());
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
