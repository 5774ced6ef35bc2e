package org.oleandertrack.server.entry;

import java.util.Set;
import java.util.UUID;
import java.util.function.LongSupplier;

/** Runs calls that belong to no program and may be repeated: they need no lasting state. */
final class DirectCallService implements CallService {

    private final Dispatcher mDispatcher;
    private final ShardDirectory mShards;
    private final LongSupplier mNanoClock;

    DirectCallService(Dispatcher dispatcher, ShardDirectory shards, LongSupplier nanoClock) {
        mDispatcher = dispatcher;
        mShards = shards;
        mNanoClock = nanoClock;
    }

    @Override
    public void run(CallerRequest request, ResponseSink sink) {
        int shard = mShards.shardOf(request);
        DispatchGrant grant =
                new DispatchGrant(
                        UUID.randomUUID().toString(),
                        shard,
                        mShards.fence(shard).orElse(0L),
                        Dispatcher.deadlineNanos(mNanoClock.getAsLong(), request.timeoutMillis()),
                        0,
                        0,
                        Set.of());
        mDispatcher.run(request, grant, sink);
        sink.end();
    }
}
