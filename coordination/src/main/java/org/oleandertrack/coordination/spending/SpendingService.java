package org.oleandertrack.coordination.spending;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.spending.GrantPolicy.GrantSize;
import org.oleandertrack.coordination.spending.SpendingAccount.Waiter;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.core.result.Execution;

/**
 * Reserves tokens from the budgets of programs. A host spends only tokens that were granted to it
 * by a durable write to the program's row. The write is conditional on the version of the row, so
 * the grants of all hosts together never exceed the budget. Tokens of a grant that a host has not
 * used when it dies count as spent. The first grant of a program includes an outage allowance,
 * which one host holds for all; hosts take from it while the store does not answer, and once the
 * rest of the budget is granted. So what all hosts spend never exceeds what the store has granted.
 * A write that is refused for the store's rate is made again; it is no reason to take from the
 * allowance, which would be used up before an outage.
 *
 * <p>Accounts are spread over stripes with a lock each. Thread-safe.
 */
public final class SpendingService {

    /** Table with one row for each program, which states what is granted of its budget. */
    public static final String TABLE = "spending";

    // The store runs the transactions of one part of a table one after another, a few hundred a
    // second. Programs are spread over the parts, so that transactions do not queue at one part.
    private static final int TABLE_PARTS = 64;
    private static final int STRIPES = 16;
    // Longer than the time within which a stopped program may resume. The program's row outlives
    // that time in the store, so dropping an idle account loses only the unused rest of a grant.
    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

    // Idle time after which unused tokens are returned. It is longer than the tool calls that a
    // program makes between two turns.
    private static final long RETURN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    // Shorter than the time after which callers turn to the allowance.
    private static final long RATE_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final RowStore mStore;
    private final StoreRate mRate;
    private final AllowanceIssuer mIssuer;
    private final WriteIds mWriteIds;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final List<Map<String, SpendingAccount>> mStripes = new ArrayList<>();

    /**
     * Creates a service without accounts.
     *
     * @param rate tells when grants are to be larger
     * @param issuer holds the outage allowances
     * @param random spreads the repetitions of writes that were refused for the store's rate
     */
    public SpendingService(
            RowStore store,
            StoreRate rate,
            AllowanceIssuer issuer,
            WriteIds writeIds,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        mStore = store;
        mRate = rate;
        mIssuer = issuer;
        mWriteIds = writeIds;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        for (int i = 0; i < STRIPES; i++) {
            mStripes.add(new HashMap<>());
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
        Map<String, SpendingAccount> stripe = stripeOf(program);
        CompletableFuture<SpendingResult> result = new CompletableFuture<>();
        synchronized (stripe) {
            SpendingAccount account = stripe.computeIfAbsent(program, SpendingAccount::new);
            account.mBudgetTokens = budgetTokens;
            account.mLastUsedNanos = mNanoClock.getAsLong();
            if (account.mWaiters.isEmpty() && account.availableTokens() >= maxTokens) {
                account.reserve(maxTokens);
                return CompletableFuture.completedFuture(
                        new SpendingResult.Reserved(maxTokens, false));
            }
            account.mWaiters.add(
                    new Waiter(maxTokens, account.mLastUsedNanos + RATE_PATIENCE_NANOS, result));
        }
        serveWaiters(program);
        return result;
    }

    /**
     * Reserves tokens from the program's outage allowance, for a caller that cannot wait longer for
     * {@link #reserve}. Nothing is reserved while the program's write waits only for the store's
     * rate.
     *
     * @param maxTokens largest number of tokens that the turn may generate
     */
    public CompletableFuture<SpendingResult> reserveFromAllowance(String program, long maxTokens) {
        CompletableFuture<SpendingResult> result = new CompletableFuture<>();
        long nowNanos = mNanoClock.getAsLong();
        synchronized (stripeOf(program)) {
            SpendingAccount account = stripeOf(program).get(program);
            boolean refused =
                    account != null
                            && account.mRateRefusals > 0
                            && nowNanos - account.mLastRateRefusalNanos < RATE_PATIENCE_NANOS;
            if (refused || mRate.delaysWrites()) {
                return CompletableFuture.completedFuture(
                        new SpendingResult.OverRate("the store is over its rate", 0));
            }
        }
        takeAllowance(
                program,
                new Waiter(maxTokens, nowNanos, result),
                new SpendingResult.Unavailable("the store has not answered in time"));
        return result;
    }

    /** Ends a reservation; the tokens that the turn did not generate can be reserved again. */
    public void settle(String program, SpendingResult.Reserved reserved, long generatedTokens) {
        long unusedTokens = Math.max(0, reserved.tokens() - generatedTokens);
        Map<String, SpendingAccount> stripe = stripeOf(program);
        synchronized (stripe) {
            SpendingAccount account = stripe.get(program);
            if (account != null) {
                account.mUsedOrReservedTokens -= unusedTokens;
                account.mOpenReservations--;
                account.mLastUsedNanos = mNanoClock.getAsLong();
            }
        }
    }

    /**
     * Gives the unused tokens of idle programs back to their budgets where these are scarce, and
     * removes the accounts of programs that have been idle for 120 s. Call regularly.
     */
    public void runMaintenance() {
        long nowNanos = mNanoClock.getAsLong();
        List<TokenReturn> returns = new ArrayList<>();
        for (Map<String, SpendingAccount> stripe : mStripes) {
            synchronized (stripe) {
                stripe.values().forEach(account -> collectReturn(account, nowNanos, returns));
                stripe.values()
                        .removeIf(
                                account ->
                                        account.mWaiters.isEmpty()
                                                && !account.mStoreRequestInFlight
                                                && nowNanos - account.mLastUsedNanos
                                                        > IDLE_RETENTION_NANOS);
            }
        }
        returns.forEach(this::writeReturn);
    }

    // Helpers

    private Map<String, SpendingAccount> stripeOf(String program) {
        return mStripes.get(Math.floorMod(program.hashCode(), STRIPES));
    }

    private static RowId rowOf(String program) {
        return new RowId(TABLE, "p" + Math.floorMod(program.hashCode(), TABLE_PARTS), program);
    }

    /** Serves waiters from the granted tokens, and writes a new grant if these are not enough. */
    private void serveWaiters(String program) {
        Map<String, SpendingAccount> stripe = stripeOf(program);
        List<Waiter> served = new ArrayList<>();
        Optional<Grant> grant = Optional.empty();
        boolean readsFirst = false;
        long tokensToDeposit;
        synchronized (stripe) {
            SpendingAccount account = stripe.get(program);
            if (account == null || account.mStoreRequestInFlight) {
                return;
            }
            tokensToDeposit = account.takeTokensToDeposit();
            serveFromGrant(account, served);
            if (!account.mWaiters.isEmpty()) {
                // The row may exist, and the store then rejects a write. While its rate is short, a
                // read is cheaper than a rejected write.
                readsFirst = !account.mRowKnown && mRate.isShort();
                grant = readsFirst ? Optional.empty() : Optional.of(nextGrant(account));
                account.mStoreRequestInFlight = true;
            }
        }
        served.forEach(
                waiter ->
                        waiter.result()
                                .complete(new SpendingResult.Reserved(waiter.tokens(), false)));
        if (tokensToDeposit > 0) {
            deposit(program, tokensToDeposit);
        }
        grant.ifPresent(this::writeGrant);
        if (readsFirst) {
            readBeforeGrant(program);
        }
    }

    private void deposit(String program, long tokens) {
        var _ =
                mIssuer.deposit(program, tokens)
                        .thenAccept(
                                deposited -> {
                                    if (!deposited) {
                                        credit(program, tokens);
                                    }
                                });
    }

    private void credit(String program, long tokens) {
        Map<String, SpendingAccount> stripe = stripeOf(program);
        synchronized (stripe) {
            SpendingAccount account = stripe.computeIfAbsent(program, SpendingAccount::new);
            account.mTokensGrantedToThisHost += tokens;
            account.mLastUsedNanos = mNanoClock.getAsLong();
        }
    }

    private static void serveFromGrant(SpendingAccount account, List<Waiter> served) {
        while (!account.mWaiters.isEmpty()
                && account.availableTokens() >= account.mWaiters.peek().tokens()) {
            Waiter waiter = account.mWaiters.poll();
            account.reserve(waiter.tokens());
            served.add(waiter);
        }
    }

    /**
     * A return of unused tokens from this host to the program's budget.
     *
     * @param grantedAfterTokens tokens granted to all hosts after the return
     * @param tokens tokens to return
     */
    private record TokenReturn(
            String program, long expectedVersion, long grantedAfterTokens, long tokens) {}

    // Removes the tokens from the account before the write. Otherwise a write of unknown outcome
    // could leave the same tokens both in the account and in the budget.
    private static void collectReturn(
            SpendingAccount account, long nowNanos, List<TokenReturn> returns) {
        boolean idle =
                account.mWaiters.isEmpty()
                        && account.mOpenReservations == 0
                        && !account.mStoreRequestInFlight
                        && nowNanos - account.mLastUsedNanos > RETURN_IDLE_NANOS;
        long tokens = account.availableTokens();
        if (!idle
                || tokens <= 0
                || !GrantPolicy.isScarce(account.mBudgetTokens, account.mTokensGrantedToAllHosts)) {
            return;
        }
        account.mTokensGrantedToThisHost -= tokens;
        account.mStoreRequestInFlight = true;
        returns.add(
                new TokenReturn(
                        account.mProgram,
                        account.mRowVersion,
                        account.mTokensGrantedToAllHosts - tokens,
                        tokens));
    }

    private void writeReturn(TokenReturn returned) {
        SpendingRow row = new SpendingRow(returned.grantedAfterTokens(), mWriteIds.next());
        RowTransaction transaction =
                RowTransaction.replace(
                        rowOf(returned.program()), returned.expectedVersion(), RowJson.encode(row));
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) ->
                                        onReturnWritten(returned, row, result, failure));
    }

    private void onReturnWritten(
            TokenReturn returned, SpendingRow row, TransactionResult result, Throwable failure) {
        synchronized (stripeOf(returned.program())) {
            SpendingAccount account = account(returned.program());
            account.mStoreRequestInFlight = false;
            if (failure != null) {
                if (StoreFailures.executionOf(failure) == Execution.NOT_RUN) {
                    account.mTokensGrantedToThisHost += returned.tokens();
                }
            } else {
                switch (result) {
                    case TransactionResult.Committed committed ->
                            account.updateFromRow(committed.version(), row);
                    case TransactionResult.Rejected rejected -> {
                        account.mTokensGrantedToThisHost += returned.tokens();
                        updateFromRows(account, rejected.current());
                    }
                }
            }
        }
        serveWaiters(returned.program());
    }

    /**
     * A grant to be written.
     *
     * @param grantedBeforeTokens tokens granted before this grant
     * @param size tokens to grant; empty if the budget, as last read, does not cover the tokens
     *     needed
     */
    private record Grant(
            String program,
            long expectedVersion,
            long grantedBeforeTokens,
            Optional<GrantSize> size) {}

    private Grant nextGrant(SpendingAccount account) {
        long turnTokens = account.mWaiters.peek().tokens();
        long neededTokens = turnTokens - account.availableTokens();
        Optional<GrantSize> size =
                GrantPolicy.nextGrant(
                        account.mBudgetTokens,
                        account.mTokensGrantedToAllHosts,
                        neededTokens,
                        mRate.isShort() ? turnTokens : 0);
        return new Grant(
                account.mProgram, account.mRowVersion, account.mTokensGrantedToAllHosts, size);
    }

    private void writeGrant(Grant grant) {
        if (grant.size().isEmpty()) {
            confirmExhausted(grant.program());
            return;
        }
        GrantSize size = grant.size().get();
        String writeId = mWriteIds.next();
        SpendingRow row =
                new SpendingRow(grant.grantedBeforeTokens() + size.totalTokens(), writeId);
        synchronized (stripeOf(grant.program())) {
            account(grant.program()).mUnconfirmedGrants.put(writeId, size);
        }
        RowTransaction transaction =
                RowTransaction.replace(
                        rowOf(grant.program()), grant.expectedVersion(), RowJson.encode(row));
        var _ =
                mStore.apply(transaction)
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure != null) {
                                        onGrantWriteFailed(grant.program(), writeId, failure);
                                    } else {
                                        onGrantWritten(grant.program(), writeId, row, result);
                                    }
                                });
    }

    private void onGrantWritten(
            String program, String writeId, SpendingRow row, TransactionResult result) {
        synchronized (stripeOf(program)) {
            SpendingAccount account = account(program);
            account.mStoreRequestInFlight = false;
            account.mRateRefusals = 0;
            switch (result) {
                case TransactionResult.Committed committed ->
                        account.updateFromRow(committed.version(), row);
                case TransactionResult.Rejected rejected -> {
                    account.mUnconfirmedGrants.remove(writeId);
                    updateFromRows(account, rejected.current());
                }
            }
        }
        serveWaiters(program);
    }

    // A write of unknown outcome may still take effect, so the row is read. A row with the write id
    // confirms the grant. Once another write has changed the row, this one can no longer apply.
    private void onGrantWriteFailed(String program, String writeId, Throwable failure) {
        if (StoreFailures.executionOf(failure) == Execution.NOT_RUN) {
            synchronized (stripeOf(program)) {
                account(program).mUnconfirmedGrants.remove(writeId);
            }
            onRequestFailed(program, failure);
            return;
        }
        readBeforeGrant(program);
    }

    private void readBeforeGrant(String program) {
        var _ =
                readRow(program)
                        .whenComplete(
                                (page, failure) -> {
                                    if (failure != null) {
                                        onRequestFailed(program, failure);
                                        return;
                                    }
                                    synchronized (stripeOf(program)) {
                                        SpendingAccount account = account(program);
                                        account.mStoreRequestInFlight = false;
                                        account.mRowKnown = true;
                                        updateFromRows(account, page.rows());
                                    }
                                    serveWaiters(program);
                                });
    }

    private CompletableFuture<RowPage> readRow(String program) {
        RowId id = rowOf(program);
        return mStore.read(id.table(), id.part(), Optional.of(id.key()), 1);
    }

    private static void updateFromRows(SpendingAccount account, List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.id().key().equals(account.mProgram)) {
                account.updateFromRow(
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
                                        onRequestFailed(program, failure);
                                        return;
                                    }
                                    refuseIfExhausted(program, page.rows());
                                });
    }

    private void refuseIfExhausted(String program, List<StoredRow> rows) {
        Optional<Waiter> refused = Optional.empty();
        long grantedTokens;
        synchronized (stripeOf(program)) {
            SpendingAccount account = account(program);
            account.mStoreRequestInFlight = false;
            updateFromRows(account, rows);
            grantedTokens = account.mTokensGrantedToAllHosts;
            if (nextGrant(account).size().isEmpty()) {
                refused = Optional.of(account.mWaiters.poll());
            }
        }
        refused.ifPresent(
                waiter ->
                        takeAllowance(
                                program, waiter, new SpendingResult.Exhausted(grantedTokens)));
        serveWaiters(program);
    }

    private void onRequestFailed(String program, Throwable failure) {
        if (StoreFailures.isOverRate(failure)) {
            waitForRate(program, StoreFailures.asStoreException(failure));
        } else {
            serveFromAllowance(program, failure);
        }
    }

    /**
     * Makes the program's request again after a pause, for those waiters that can wait so long.
     * During the pause, the request counts as in flight. A refusal that names a time is one of this
     * host's own limit; it ends all waiters at once, because the limit counts their time already.
     */
    private void waitForRate(String program, StoreException refusal) {
        List<Waiter> refused = new ArrayList<>();
        long pauseNanos;
        synchronized (stripeOf(program)) {
            SpendingAccount account = account(program);
            long nowNanos = mNanoClock.getAsLong();
            pauseNanos = RateRetry.pauseNanos(account.mRateRefusals, mRandom);
            account.mRateRefusals++;
            account.mLastRateRefusalNanos = nowNanos;
            account.mWaiters.removeIf(
                    waiter -> {
                        boolean ends =
                                refusal.retryAfterMillis() > 0
                                        || waiter.endNanos() - nowNanos < pauseNanos;
                        return ends && refused.add(waiter);
                    });
        }
        refused.forEach(
                waiter ->
                        waiter.result()
                                .complete(
                                        new SpendingResult.OverRate(
                                                refusal.getMessage(), refusal.retryAfterMillis())));
        if (refusal.retryAfterMillis() > 0) {
            endPause(program);
        } else {
            mScheduler.schedule(pauseNanos, () -> endPause(program));
        }
    }

    private void endPause(String program) {
        synchronized (stripeOf(program)) {
            account(program).mStoreRequestInFlight = false;
        }
        serveWaiters(program);
    }

    /** Serves all waiters from the outage allowance after a failed request to the store. */
    private void serveFromAllowance(String program, Throwable failure) {
        List<Waiter> waiters;
        synchronized (stripeOf(program)) {
            SpendingAccount account = account(program);
            account.mStoreRequestInFlight = false;
            account.mRateRefusals = 0;
            waiters = new ArrayList<>(account.mWaiters);
            account.mWaiters.clear();
        }
        String reason = StoreFailures.asStoreException(failure).getMessage();
        waiters.forEach(
                waiter -> takeAllowance(program, waiter, new SpendingResult.Unavailable(reason)));
    }

    /**
     * Serves a waiter from the tokens of this host and, if these are not enough, from the outage
     * allowance.
     *
     * @param refusal result if both do not cover the waiter's tokens
     */
    private void takeAllowance(String program, Waiter waiter, SpendingResult refusal) {
        long availableTokens;
        synchronized (stripeOf(program)) {
            SpendingAccount account =
                    stripeOf(program).computeIfAbsent(program, SpendingAccount::new);
            availableTokens = Math.min(account.availableTokens(), waiter.tokens());
            account.reserve(availableTokens);
        }
        long missingTokens = waiter.tokens() - availableTokens;
        if (missingTokens == 0) {
            waiter.result().complete(new SpendingResult.Reserved(waiter.tokens(), false));
            return;
        }
        var _ =
                mIssuer.take(program, missingTokens)
                        .thenAccept(
                                taken ->
                                        onAllowance(
                                                program, waiter, missingTokens, taken, refusal));
    }

    private void onAllowance(
            String program,
            Waiter waiter,
            long missingTokens,
            boolean taken,
            SpendingResult refusal) {
        if (taken) {
            synchronized (stripeOf(program)) {
                SpendingAccount account =
                        stripeOf(program).computeIfAbsent(program, SpendingAccount::new);
                account.mTokensGrantedToThisHost += missingTokens;
                account.mUsedOrReservedTokens += missingTokens;
                account.mLastUsedNanos = mNanoClock.getAsLong();
            }
            waiter.result().complete(new SpendingResult.Reserved(waiter.tokens(), true));
            return;
        }
        settle(program, new SpendingResult.Reserved(waiter.tokens() - missingTokens, false), 0);
        waiter.result().complete(refusal);
    }

    // Called only while the program has a store request in flight, so that its account exists.
    private SpendingAccount account(String program) {
        return stripeOf(program).get(program);
    }
}
