package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Ends programs whose shard this process holds. Thread safe. */
final class LocalProgramEnder implements ProgramEnder {

    private static final long TIMEOUT_MILLIS = 5_000;

    private final ShardRegistry mShards;
    private final ProgramOpener mOpener;
    private final ProgramLimitEnforcer mLimitEnforcer;
    private final LongSupplier mNanoClock;

    LocalProgramEnder(
            ShardRegistry shards,
            ProgramOpener opener,
            ProgramLimitEnforcer limitEnforcer,
            LongSupplier nanoClock) {
        mShards = shards;
        mOpener = opener;
        mLimitEnforcer = limitEnforcer;
        mNanoClock = nanoClock;
    }

    @Override
    public Optional<String> remoteHolder(String organisation, String program) {
        int shard = mShards.shardOf(organisation, CallerRequest.rootOf(program));
        return mShards.isHeldHere(shard) ? Optional.empty() : mShards.holder(shard);
    }

    @Override
    public void end(String organisation, String program) {
        int shardNumber = mShards.shardOf(organisation, CallerRequest.rootOf(program));
        HeldShard shard = mShards.enter(shardNumber);
        try {
            ProgramKey key = new ProgramKey(organisation, program);
            RootProgram root = shard.getOrCreateProgram(key.root());
            root.beginTurn(program);
            try {
                end(shard, root, key);
            } finally {
                root.finishTurn(program);
            }
        } finally {
            shard.exit();
        }
    }

    private void end(HeldShard shard, RootProgram root, ProgramKey key) {
        long deadlineNanos = Deadlines.after(mNanoClock.getAsLong(), TIMEOUT_MILLIS);
        var session = mOpener.openExisting(root, shard.fence(), deadlineNanos);
        if (session.row(key.program()).isEmpty()) {
            throw new ResultException(
                    ResultCode.UNKNOWN_OBJECT,
                    "no program '" + key.program() + "' is open on this entry host");
        }
        StoreFutures.await(session.end(key.program(), deadlineNanos));
        mLimitEnforcer.cleanUp(shard, root, key);
    }
}
