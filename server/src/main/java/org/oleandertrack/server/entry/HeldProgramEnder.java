package org.oleandertrack.server.entry;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.program.ProgramKey;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Ends programs whose shard is held here. Thread safe. */
final class HeldProgramEnder implements ProgramEnder {

    private static final long TIMEOUT_MILLIS = 5_000;

    private final ShardRegistry mShards;
    private final ProgramOpener mOpener;
    private final ProgramLimits mLimits;
    private final LongSupplier mNanoClock;

    HeldProgramEnder(
            ShardRegistry shards,
            ProgramOpener opener,
            ProgramLimits limits,
            LongSupplier nanoClock) {
        mShards = shards;
        mOpener = opener;
        mLimits = limits;
        mNanoClock = nanoClock;
    }

    @Override
    public Optional<String> holderElsewhere(String organisation, String program) {
        int shard = mShards.shardOf(organisation, CallerRequest.rootOf(program));
        return mShards.isHeldHere(shard) ? Optional.empty() : mShards.holder(shard);
    }

    @Override
    public void end(String organisation, String program) {
        int number = mShards.shardOf(organisation, CallerRequest.rootOf(program));
        HeldShard shard = mShards.enter(number);
        try {
            ProgramKey key = new ProgramKey(organisation, program);
            RootProgram root = shard.program(key.root());
            root.begin(program);
            try {
                end(shard, root, key);
            } finally {
                root.finish(program);
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
                    ResultCode.UNKNOWN_OBJECT, "no program '" + key.program() + "' is open here");
        }
        StoreCalls.await(session.end(key.program(), deadlineNanos));
        mLimits.ended(shard, root, key);
    }
}
