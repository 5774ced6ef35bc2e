package org.oleandertrack.coordination.conversation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreCallLimits;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;

/**
 * Kept turns in the platform's store. Each turn has the whole conversation in its own rows, so that
 * one unreadable row harms no other conversation and one read is enough. Thread-safe.
 */
final class ConversationStore {

    // Beyond the retention time: clocks of hosts differ, and a turn may be written late.
    private static final long REMOVAL_DELAY_MILLIS = 60_000;
    private static final int REMOVAL_BATCH_TURNS = 40;
    // A conversation of 64 MB.
    private static final int MAX_PIECES = 1_000;
    private static final int MAX_REPLACEMENTS = 3;

    private final RowStore mStore;
    private final LongSupplier mEpochMillisClock;

    /**
     * Creates a store.
     *
     * @param epochMillisClock the time of day, which decides when turns are removed
     */
    ConversationStore(RowStore store, LongSupplier epochMillisClock) {
        mStore = store;
        mEpochMillisClock = epochMillisClock;
    }

    // Operations

    /**
     * Writes a turn, and returns the proof that the store has confirmed it. May be repeated after a
     * failure. If the store has another conversation under the same id, from an earlier try of the
     * turn, it is replaced.
     *
     * @param choice number of the part to which the turn is written
     * @param keptMillis time of day at which the turn was first written, in milliseconds since the
     *     epoch. Repetitions state the same time, so that their transactions are equal.
     */
    CompletableFuture<StoreReceipt> write(KeptTurn turn, int choice, long keptMillis) {
        List<String> values = ConversationCodec.encode(turn.conversation());
        long dueMillis = keptMillis + turn.retentionMillis() + REMOVAL_DELAY_MILLIS;
        List<RowTransaction.Write> writes = new ArrayList<>();
        writes.add(
                new RowTransaction.Write(
                        ConversationRows.dueRow(
                                turn.turnId(), choice, TimeUnit.MILLISECONDS.toSeconds(dueMillis)),
                        Integer.toString(values.size())));
        for (int piece = 1; piece < values.size(); piece++) {
            writes.add(
                    new RowTransaction.Write(
                            ConversationRows.turnRow(turn.turnId(), choice, piece),
                            values.get(piece)));
        }
        RowTransaction.Write first =
                new RowTransaction.Write(
                        ConversationRows.turnRow(turn.turnId(), choice, 0), values.getFirst());
        return writeAll(writes, first)
                .thenApply(done -> new StoreReceipt(turn.turnId(), StoreReceipt.Writer.THIS_HOST));
    }

    /**
     * Reads a turn; empty if no part of the store has it. The future fails with {@link
     * IllegalArgumentException} if the rows cannot be decoded.
     */
    CompletableFuture<Optional<Conversation>> read(String turnId) {
        return read(turnId, 0)
                .thenCompose(
                        found ->
                                found.isPresent()
                                        ? CompletableFuture.completedFuture(found)
                                        : readOtherParts(turnId));
    }

    /** Reads a turn from the parts to which it is written when the usual one does not answer. */
    CompletableFuture<Optional<Conversation>> readOtherParts(String turnId) {
        CompletableFuture<Optional<Conversation>> result = new CompletableFuture<>();
        List<CompletableFuture<Optional<Conversation>>> reads = new ArrayList<>();
        for (int choice = 1; choice < ConversationRows.PART_CHOICES; choice++) {
            reads.add(
                    read(turnId, choice)
                            .whenComplete(
                                    (found, failure) -> {
                                        if (failure == null && found.isPresent()) {
                                            result.complete(found);
                                        }
                                    }));
        }
        var _ =
                CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                        .whenComplete(
                                (done, failure) -> {
                                    if (failure == null) {
                                        result.complete(Optional.empty());
                                    } else {
                                        result.completeExceptionally(failure);
                                    }
                                });
        return result;
    }

    /** Removes expired turns of a part, up to a limit; returns their number. */
    CompletableFuture<Integer> removeExpired(String part) {
        long nowSeconds = TimeUnit.MILLISECONDS.toSeconds(mEpochMillisClock.getAsLong());
        return mStore.read(ConversationRows.DUE_TABLE, part, Optional.empty(), REMOVAL_BATCH_TURNS)
                .thenCompose(
                        page ->
                                remove(
                                        page.rows().stream()
                                                .filter(
                                                        row ->
                                                                ConversationRows.isDue(
                                                                        row.id(), nowSeconds))
                                                .toList()));
    }

    // Helpers

    private CompletableFuture<Optional<Conversation>> read(String turnId, int choice) {
        return readPieces(turnId, choice, 1)
                .thenCompose(
                        values -> {
                            int pieces =
                                    values.isEmpty()
                                            ? 0
                                            : ConversationCodec.pieceCount(values.getFirst());
                            return pieces <= 1
                                    ? CompletableFuture.completedFuture(values)
                                    : readPieces(turnId, choice, pieces);
                        })
                .thenApply(
                        values ->
                                values.isEmpty()
                                        ? Optional.empty()
                                        : Optional.of(ConversationCodec.decode(values)));
    }

    // The due row is in the first transaction, so that the rows of a host that ends between two
    // transactions are removed. The first row of the turn is in the last one: without it, the other
    // rows are not visible to readers.
    private CompletableFuture<Void> writeAll(
            List<RowTransaction.Write> writes, RowTransaction.Write first) {
        List<List<RowTransaction.Write>> batches = batchesOf(writes, first);
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (List<RowTransaction.Write> batch : batches.subList(0, batches.size() - 1)) {
            done =
                    done.thenCompose(
                                    previous ->
                                            mStore.apply(
                                                    new RowTransaction(
                                                            List.of(), batch, List.of())))
                            .thenAccept(result -> {});
        }
        List<RowTransaction.Write> last = new ArrayList<>(batches.getLast());
        last.add(first);
        return done.thenCompose(previous -> commit(last, first, 0, 0));
    }

    // Each batch leaves room for the first row and its condition.
    private static List<List<RowTransaction.Write>> batchesOf(
            List<RowTransaction.Write> writes, RowTransaction.Write first) {
        long reservedBytes = StoreCallLimits.bytesOf(first) + StoreCallLimits.bytesOf(first.id());
        int maxWrites = StoreCallLimits.MAX_TRANSACTION_ENTRIES - 2;
        List<List<RowTransaction.Write>> batches = new ArrayList<>();
        batches.add(new ArrayList<>());
        long bytes = reservedBytes;
        for (RowTransaction.Write write : writes) {
            long writeBytes = StoreCallLimits.bytesOf(write);
            boolean fits =
                    bytes + writeBytes <= StoreCallLimits.MAX_TRANSACTION_BYTES
                            && batches.getLast().size() < maxWrites;
            if (!fits) {
                batches.add(new ArrayList<>());
                bytes = reservedBytes;
            }
            batches.getLast().add(write);
            bytes += writeBytes;
        }
        return batches;
    }

    private CompletableFuture<Void> commit(
            List<RowTransaction.Write> writes,
            RowTransaction.Write first,
            long expectedVersion,
            int replacements) {
        RowTransaction transaction =
                new RowTransaction(
                        List.of(new RowTransaction.Condition(first.id(), expectedVersion)),
                        writes,
                        List.of());
        return mStore.apply(transaction)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case TransactionResult.Committed committed ->
                                            CompletableFuture.completedFuture(null);
                                    case TransactionResult.Rejected rejected ->
                                            onRejected(rejected, writes, first, replacements);
                                });
    }

    // The row may be the result of this write, whose answer was lost, or of another try.
    private CompletableFuture<Void> onRejected(
            TransactionResult.Rejected rejected,
            List<RowTransaction.Write> writes,
            RowTransaction.Write first,
            int replacements) {
        Optional<StoredRow> current =
                rejected.current().stream().filter(row -> row.id().equals(first.id())).findFirst();
        if (current.isPresent() && current.get().value().equals(first.value())) {
            return CompletableFuture.completedFuture(null);
        }
        if (replacements >= MAX_REPLACEMENTS) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("turn " + first.id().key() + " is being replaced"));
        }
        long version = current.map(StoredRow::version).orElse(0L);
        return commit(writes, first, version, replacements + 1);
    }

    private CompletableFuture<List<String>> readPieces(String turnId, int choice, int limit) {
        RowId first = ConversationRows.turnRow(turnId, choice, 0);
        return mStore.read(first.table(), first.part(), Optional.of(first.key()), limit)
                .thenApply(
                        page -> {
                            List<String> values = new ArrayList<>();
                            for (StoredRow row : page.rows()) {
                                RowId expected =
                                        ConversationRows.turnRow(turnId, choice, values.size());
                                if (!row.id().equals(expected)) {
                                    break;
                                }
                                values.add(row.value());
                            }
                            return values;
                        });
    }

    // The due row of a turn goes last, so that a removal that ends midway is taken up again.
    private CompletableFuture<Integer> remove(List<StoredRow> dueRows) {
        List<RowId> removals = new ArrayList<>();
        for (StoredRow row : dueRows) {
            for (int piece = 0; piece < pieceCount(row); piece++) {
                removals.add(ConversationRows.turnRow(row.id(), piece));
            }
            removals.add(row.id());
        }
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (int start = 0;
                start < removals.size();
                start += StoreCallLimits.MAX_TRANSACTION_ENTRIES) {
            int end = Math.min(removals.size(), start + StoreCallLimits.MAX_TRANSACTION_ENTRIES);
            List<RowId> batch = removals.subList(start, end);
            done =
                    done.thenCompose(
                                    previous ->
                                            mStore.apply(
                                                    new RowTransaction(
                                                            List.of(), List.of(), batch)))
                            .thenAccept(result -> {});
        }
        return done.thenApply(previous -> dueRows.size());
    }

    // A row of another writer may hold anything; it is removed with the first row of the turn.
    private static int pieceCount(StoredRow dueRow) {
        try {
            return Math.clamp(Integer.parseInt(dueRow.value()), 1, MAX_PIECES);
        } catch (NumberFormatException e) {
            return 1;
        }
    }
}
