package org.oleandertrack.coordination.store;

import java.nio.charset.StandardCharsets;

/**
 * Limits of the platform's store on one call, and the sizes of calls in its unit: bytes as sent.
 * Values are sent as Base64 of UTF-8.
 */
public final class StoreCallLimits {

    /** Largest number of conditions, writes and removals in a transaction. */
    public static final int MAX_TRANSACTION_ENTRIES = 100;

    /** Largest size of a transaction, in bytes as sent. */
    public static final long MAX_TRANSACTION_BYTES = 1_000_000;

    /** Largest size of a row's value, in bytes of UTF-8. */
    public static final int MAX_VALUE_BYTES = 65_536;

    // Names of fields, punctuation and a version.
    private static final int ENTRY_OVERHEAD_BYTES = 100;

    private StoreCallLimits() {}

    /** Returns the size of a transaction, in bytes as sent. */
    public static long bytesOf(RowTransaction transaction) {
        return transaction.conditions().stream()
                        .mapToLong(condition -> bytesOf(condition.id()))
                        .sum()
                + transaction.writes().stream().mapToLong(StoreCallLimits::bytesOf).sum()
                + transaction.removals().stream().mapToLong(StoreCallLimits::bytesOf).sum();
    }

    /** Returns the size of a written row, in bytes as sent. */
    public static long bytesOf(RowTransaction.Write write) {
        long valueBytes = utf8BytesOf(write.value());
        long base64Bytes = (valueBytes + 2) / 3 * 4;
        return bytesOf(write.id()) + base64Bytes;
    }

    /** Returns the size of the id of a row, in bytes as sent. */
    public static long bytesOf(RowId id) {
        return ENTRY_OVERHEAD_BYTES
                + utf8BytesOf(id.table())
                + utf8BytesOf(id.part())
                + utf8BytesOf(id.key());
    }

    /** Returns the number of entries of a transaction. */
    public static int entriesOf(RowTransaction transaction) {
        return transaction.conditions().size()
                + transaction.writes().size()
                + transaction.removals().size();
    }

    /**
     * Throws an exception if the store would refuse a transaction for its size whenever it is made.
     *
     * @throws StoreException if the transaction exceeds a limit
     */
    public static void check(RowTransaction transaction) {
        if (entriesOf(transaction) > MAX_TRANSACTION_ENTRIES) {
            throw StoreException.rejected(
                    "the transaction has " + entriesOf(transaction) + " entries");
        }
        for (RowTransaction.Write write : transaction.writes()) {
            long valueBytes = utf8BytesOf(write.value());
            if (valueBytes > MAX_VALUE_BYTES) {
                throw StoreException.rejected(
                        "the value of " + write.id() + " has " + valueBytes + " bytes");
            }
        }
        long bytes = bytesOf(transaction);
        if (bytes > MAX_TRANSACTION_BYTES) {
            throw StoreException.rejected("the transaction has " + bytes + " bytes");
        }
    }

    private static long utf8BytesOf(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
