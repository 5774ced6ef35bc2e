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
 * Reserves tokens from the budgets of programs. A host spends only tokens that were granted to it
 * by a durable write to the program's row. The write is conditional on the version of the row, so
 * the grants of all hosts together never exceed the budget. Tokens of a grant that a host has not
 * used when it dies count as spent.
 *
 * <p>Accounts are spread over stripes with a lock each. Thread-safe.
 */
public final class SpendingService {

    private static final String TABLE = "spending";
    // The store runs the transactions of one part of a table one after another, a few hundred a
    // second. Programs are spread over the parts, so that transactions do not queue at one part.
    private static final int PARTS = 64;
    private static final int SHARDS = 16;
    // A stopped program may resume within its retention time. Its row in the store outlives that
    // time, so dropping an idle account loses only the unused rest of a grant.
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(120);

    // Longer than the tools take that a program calls between two turns.
    private static final long RETURN_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RowStore mStore;
    private final AllowanceIssuer mIssuer;
    private final WriteIds mWriteIds;
    private final LongSupplier mNanoClock;
    private final List<Map<String, SpendingAccount>> mShards = new ArrayList<>();

    /**
     * Creates a service without accounts.
     *
     * @param issuer issues tokens of outage allowances while the store does not answer
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
     * @param budgetTokens tokens that all turns of the program together may generate
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

    /**
     * Reserves tokens from the program's outage allowance, for a caller that cannot wait longer for
     * {@link #reserve}.
     *
     * @param budgetTokens tokens that all turns of the program together may generate
     * @param maxTokens largest number of tokens that the turn may generate
     */
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

    /** Ends a reservation; the tokens that the turn did not generate can be reserved again. */
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
     * Returns unused tokens of idle programs whose budget is scarce to the budget, and removes the
     * accounts of programs that have been idle for 120 s. Call regularly.
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
        returns.forEach(this::writeReturn);
    }

    // Helpers

    private Map<String, SpendingAccount> shardOf(String program) {
        return mShards.get(Math.floorMod(program.hashCode(), SHARDS));
    }

    private static RowId rowOf(String program) {
        return new RowId(TABLE, "p" + Math.floorMod(program.hashCode(), PARTS), program);
    }

    /** Serves waiters from the granted tokens, and requests a grant if these are not enough. */
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
        grant.ifPresent(this::writeGrant);
    }

    private static void serveFromGrant(SpendingAccount account, List<Waiter> served) {
        while (!account.mWaiters.isEmpty()
                && account.availableTokens() >= account.mWaiters.peek().tokens()) {
            Waiter waiter = account.mWaiters.poll();
            account.reserved(waiter.tokens());
            served.add(waiter);
        }
    }

    /**
     * Unused tokens that this host returns to the budget.
     *
     * @param totalTokens tokens granted to all hosts after the return
     */
    private record Return(String program, long expectedVersion, long totalTokens, long tokens) {}

    // Removes the tokens from the account before the write. Otherwise a write of unknown outcome
    // could leave the same tokens both in the account and in the budget.
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

    private void writeReturn(Return returned) {
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

    /**
     * A grant to be written.
     *
     * @param totalTokens tokens granted to all hosts before this grant
     * @param sizeTokens tokens to grant; empty if the budget, as last read, does not cover the
     *     tokens needed
     */
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

    private void writeGrant(Grant grant) {
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

    // A write of unknown outcome may still take effect, so the row is read. A row with the write id
    // confirms the grant. Once another write has changed the row, this one can no longer apply.
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

    // Reads the row again, because another host may have returned tokens since the last read.
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

    // Only for programs with a store request in flight, whose accounts are never removed.
    private SpendingAccount account(String program) {
        return shardOf(program).get(program);
    }
}
