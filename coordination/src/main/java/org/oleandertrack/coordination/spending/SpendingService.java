package org.oleandertrack.coordination.spending;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.spending.SpendingAccount.Waiter;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.core.result.Execution;

/**
 * Reserves tokens of programs' budgets. A host spends only from grants that are written durably to
 * the program's row, on condition of the row's version, so that all hosts together never grant more
 * than the budget. Grants that are not used when their host dies count as spent.
 *
 * <p>Programs are spread over shards with a lock each. Thread-safe.
 */
public final class SpendingService {

    private static final String TABLE = "spending";
    // A part carries some hundred transactions a second one after another; programs spread over
    // the parts so that none of them becomes a queue.
    private static final int PARTS = 64;
    private static final int SHARDS = 16;
    // A program that was stopped may come back within its retention, which the row outlives; what
    // is dropped here is only the rest of a grant.
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(120);

    // The tools that a program calls between two turns take less.
    private static final long RETURN_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RowStore mStore;
    private final AllowanceIssuer mIssuer;
    private final WriteIds mWriteIds;
    private final LongSupplier mNanoClock;
    private final List<Map<String, SpendingAccount>> mShards = new ArrayList<>();

    /**
     * Creates a service without accounts.
     *
     * @param issuer asked while the store cannot be reached
     */
    public SpendingService(
            RowStore store, AllowanceIssuer issuer, WriteIds writeIds, LongSupplier nanoClock) {
        mStore = store;
        mIssuer = issuer;
        mWriteIds = writeIds;
        mNanoClock = nanoClock;
        for (int i = 0; i < SHARDS; i++) {
            mShards.add(new HashMap<>());
        }
    }

    // Operations

    /**
     * Reserves tokens for a turn.
     *
     * @param budgetTokens tokens that all turns of the program may generate
     * @param maxTokens largest number of tokens that the turn may generate
     */
    public CompletableFuture<SpendingResult> reserve(
            String program, long budgetTokens, long maxTokens) {
        Map<String, SpendingAccount> shard = shardOf(program);
        CompletableFuture<SpendingResult> result = new CompletableFuture<>();
        synchronized (shard) {
            SpendingAccount account = shard.computeIfAbsent(program, SpendingAccount::new);
            account.mBudgetTokens = budgetTokens;
            account.mLastUsedNanos = mNanoClock.getAsLong();
            if (account.mWaiters.isEmpty() && account.availableTokens() >= maxTokens) {
                account.reserved(maxTokens);
                return CompletableFuture.completedFuture(
                        new SpendingResult.Reserved(maxTokens, false));
            }
            account.mWaiters.add(new Waiter(maxTokens, result));
        }
        pump(program);
        return result;
    }

    /** Reserves tokens of the outage allowance, when the store takes too long. */
    public CompletableFuture<SpendingResult> reserveFromAllowance(
            String program, long budgetTokens, long maxTokens) {
        return mIssuer.take(program, budgetTokens, maxTokens)
                .thenApply(
                        taken ->
                                taken
                                        ? new SpendingResult.Reserved(maxTokens, true)
                                        : new SpendingResult.Unavailable(
                                                "the store has not answered in time"));
    }

    /** Gives back what a turn did not generate of its reservation. */
    public void settle(String program, SpendingResult.Reserved reserved, long generatedTokens) {
        long unusedTokens = Math.max(0, reserved.tokens() - generatedTokens);
        if (reserved.fromAllowance()) {
            mIssuer.giveBack(program, unusedTokens);
            return;
        }
        Map<String, SpendingAccount> shard = shardOf(program);
        synchronized (shard) {
            SpendingAccount account = shard.get(program);
            if (account != null) {
                account.mUsedHereTokens -= unusedTokens;
                account.mOpenReservations--;
                account.mLastUsedNanos = mNanoClock.getAsLong();
            }
        }
    }

    /**
     * Gives back what idle programs with a scarce budget do not use here, and forgets programs that
     * have been idle for long. Call regularly.
     */
    public void upkeep() {
        long nowNanos = mNanoClock.getAsLong();
        List<Return> returns = new ArrayList<>();
        for (Map<String, SpendingAccount> shard : mShards) {
            synchronized (shard) {
                shard.values().forEach(account -> takeReturn(account, nowNanos, returns));
                shard.values()
                        .removeIf(
                                account ->
                                        account.mWaiters.isEmpty()
                                                && !account.mCallUnderWay
                                                && nowNanos - account.mLastUsedNanos
                                                        > FORGET_NANOS);
            }
        }
        returns.forEach(this::write);
    }

    // Helpers

    private Map<String, SpendingAccount> shardOf(String program) {
        return mShards.get(Math.floorMod(program.hashCode(), SHARDS));
    }

    private static RowId rowOf(String program) {
        return new RowId(TABLE, "p" + Math.floorMod(program.hashCode(), PARTS), program);
    }

    /** Serves waiters from the grant in hand, and asks for the next grant if that is not enough. */
    private void pump(String program) {
        Map<String, SpendingAccount> shard = shardOf(program);
        List<Waiter> served = new ArrayList<>();
        Optional<Grant> grant = Optional.empty();
        synchronized (shard) {
            SpendingAccount account = shard.get(program);
            if (account == null || account.mCallUnderWay) {
                return;
            }
            serveFromGrant(account, served);
            if (!account.mWaiters.isEmpty()) {
                grant = Optional.of(nextGrant(account));
                account.mCallUnderWay = true;
            }
        }
        served.forEach(
                waiter ->
                        waiter.result()
                                .complete(new SpendingResult.Reserved(waiter.tokens(), false)));
        grant.ifPresent(this::write);
    }

    private static void serveFromGrant(SpendingAccount account, List<Waiter> served) {
        while (!account.mWaiters.isEmpty()
                && account.availableTokens() >= account.mWaiters.peek().tokens()) {
            Waiter waiter = account.mWaiters.poll();
            account.reserved(waiter.tokens());
            served.add(waiter);
        }
    }

    /** Tokens that this host gives back. */
    private record Return(String program, long expectedVersion, long totalTokens, long tokens) {}

    // The tokens are taken out of the account first: a write of unknown outcome must not leave them
    // in two places.
    private static void takeReturn(SpendingAccount account, long nowNanos, List<Return> returns) {
        boolean idle =
                account.mWaiters.isEmpty()
                        && account.mOpenReservations == 0
                        && !account.mCallUnderWay
                        && nowNanos - account.mLastUsedNanos > RETURN_AFTER_NANOS;
        long tokens = account.availableTokens();
        if (!idle
                || tokens <= 0
                || !GrantPolicy.isScarce(account.mBudgetTokens, account.mGrantedTotalTokens)) {
            return;
        }
        account.mGrantedHereTokens -= tokens;
        account.mCallUnderWay = true;
        returns.add(
                new Return(
                        account.mProgram,
                        account.mRowVersion,
                        account.mGrantedTotalTokens - tokens,
                        tokens));
    }

    private void write(Return returned) {
        SpendingRow row = new SpendingRow(returned.totalTokens(), mWriteIds.next());
        RowTransaction transaction =
                RowTransaction.replace(
                        rowOf(returned.program()), returned.expectedVersion(), RowJson.encode(row));
        var _ =
                mStore.apply(transaction)
                        .whenComplete((result, failure) -> ended(returned, row, result, failure));
    }

    private void ended(
            Return returned, SpendingRow row, TransactionResult result, Throwable failure) {
        synchronized (shardOf(returned.program())) {
            SpendingAccount account = account(returned.program());
            account.mCallUnderWay = false;
            if (failure != null) {
                if (StoreFailures.executionOf(failure) == Execution.NOT_RUN) {
                    account.mGrantedHereTokens += returned.tokens();
                }
            } else {
                switch (result) {
                    case TransactionResult.Committed committed ->
                            account.rowSeen(committed.version(), row);
                    case TransactionResult.Rejected rejected -> {
                        account.mGrantedHereTokens += returned.tokens();
                        rowRead(account, rejected.current());
                    }
                }
            }
        }
        pump(returned.program());
    }

    /** A grant that is to be written, or to be confirmed as impossible if it has no size. */
    private record Grant(
            String program, long expectedVersion, long totalTokens, OptionalLong sizeTokens) {}

    private static Grant nextGrant(SpendingAccount account) {
        long neededTokens = account.mWaiters.peek().tokens() - account.availableTokens();
        OptionalLong size =
                GrantPolicy.grantTokens(
                        account.mBudgetTokens
                                - GrantPolicy.outageTokens(
                                        account.mBudgetTokens, account.mWaiters.peek().tokens()),
                        account.mGrantedTotalTokens,
                        neededTokens);
        return new Grant(account.mProgram, account.mRowVersion, account.mGrantedTotalTokens, size);
    }

    private void write(Grant grant) {
        if (grant.sizeTokens().isEmpty()) {
            confirmExhausted(grant.program());
            return;
        }
        long sizeTokens = grant.sizeTokens().getAsLong();
        String writeId = mWriteIds.next();
        SpendingRow row = new SpendingRow(grant.totalTokens() + sizeTokens, writeId);
        synchronized (shardOf(grant.program())) {
            account(grant.program()).mUnconfirmed.put(writeId, sizeTokens);
        }
        RowTransaction transaction =
                RowTransaction.replace(
                        rowOf(grant.program()), grant.expectedVersion(), RowJson.encode(row));
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        writeFailed(grant.program(), writeId, failure);
                                    } else {
                                        written(grant.program(), writeId, row, result);
                                    }
                                });
    }

    private void written(
            String program, String writeId, SpendingRow row, TransactionResult result) {
        synchronized (shardOf(program)) {
            SpendingAccount account = account(program);
            account.mCallUnderWay = false;
            switch (result) {
                case TransactionResult.Committed committed ->
                        account.rowSeen(committed.version(), row);
                case TransactionResult.Rejected rejected -> {
                    account.mUnconfirmed.remove(writeId);
                    rowRead(account, rejected.current());
                }
            }
        }
        pump(program);
    }

    // A write of unknown outcome may still take effect. The row tells; the write cannot succeed any
    // more once another one has changed the row.
    private void writeFailed(String program, String writeId, Throwable failure) {
        if (StoreFailures.executionOf(failure) == Execution.NOT_RUN) {
            synchronized (shardOf(program)) {
                account(program).mUnconfirmed.remove(writeId);
            }
            refuseUnavailable(program, failure);
            return;
        }
        var _ =
                readRow(program)
                        .whenComplete(
                                (page, readFailure) -> {
                                    if (readFailure != null) {
                                        refuseUnavailable(program, readFailure);
                                        return;
                                    }
                                    synchronized (shardOf(program)) {
                                        SpendingAccount account = account(program);
                                        account.mCallUnderWay = false;
                                        rowRead(account, page.rows());
                                    }
                                    pump(program);
                                });
    }

    private CompletableFuture<RowPage> readRow(String program) {
        RowId id = rowOf(program);
        return mStore.read(id.table(), id.part(), Optional.of(id.key()), 1);
    }

    private static void rowRead(SpendingAccount account, List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.id().key().equals(account.mProgram)) {
                account.rowSeen(
                        row.version(),
                        RowJson.decode(row.id().toString(), row.value(), SpendingRow.class));
            }
        }
    }

    // Another host may have given tokens back since the row was read.
    private void confirmExhausted(String program) {
        var _ =
                readRow(program)
                        .whenComplete(
                                (page, failure) -> {
                                    if (failure != null) {
                                        refuseUnavailable(program, failure);
                                        return;
                                    }
                                    refuseExhausted(program, page.rows());
                                });
    }

    private void refuseExhausted(String program, List<StoredRow> rows) {
        Optional<Waiter> refused = Optional.empty();
        long grantedTokens;
        synchronized (shardOf(program)) {
            SpendingAccount account = account(program);
            account.mCallUnderWay = false;
            rowRead(account, rows);
            grantedTokens = account.mGrantedTotalTokens;
            if (nextGrant(account).sizeTokens().isEmpty()) {
                refused = Optional.of(account.mWaiters.poll());
            }
        }
        refused.ifPresent(
                waiter -> waiter.result().complete(new SpendingResult.Exhausted(grantedTokens)));
        pump(program);
    }

    private void refuseUnavailable(String program, Throwable failure) {
        List<Waiter> waiters;
        long budgetTokens;
        synchronized (shardOf(program)) {
            SpendingAccount account = account(program);
            account.mCallUnderWay = false;
            budgetTokens = account.mBudgetTokens;
            waiters = new ArrayList<>(account.mWaiters);
            account.mWaiters.clear();
        }
        String reason = StoreFailures.asStoreException(failure).getMessage();
        waiters.forEach(waiter -> takeAllowance(program, budgetTokens, waiter, reason));
    }

    private void takeAllowance(String program, long budgetTokens, Waiter waiter, String reason) {
        var _ =
                mIssuer.take(program, budgetTokens, waiter.tokens())
                        .thenApply(
                                taken ->
                                        taken
                                                ? new SpendingResult.Reserved(waiter.tokens(), true)
                                                : new SpendingResult.Unavailable(reason))
                        .thenAccept(waiter.result()::complete);
    }

    // Accounts with a call under way have waiters and are never dropped.
    private SpendingAccount account(String program) {
        return shardOf(program).get(program);
    }
}
