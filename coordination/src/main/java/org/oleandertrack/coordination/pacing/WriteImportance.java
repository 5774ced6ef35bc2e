package org.oleandertrack.coordination.pacing;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowTransaction;

/** Order in which writes are made while the store is over its rate, and how long each may wait. */
enum WriteImportance {
    /** Grants and stored turns: a client waits for them, and a guarantee depends on them. */
    CLIENT_WAITS(400),
    /** Records that peers hold as well, or that other hosts need within seconds. */
    RECORD(1_000),
    /** Removals of expired rows, and other writes that may be made at any time. */
    DEFERRABLE(2_000);

    private final long mMaxWaitNanos;

    WriteImportance(long maxWaitMillis) {
        mMaxWaitNanos = TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
    }

    /** Returns the longest time for which a write waits before it is refused. */
    long maxWaitNanos() {
        return mMaxWaitNanos;
    }

    static WriteImportance of(RowTransaction transaction) {
        if (transaction.writes().isEmpty()) {
            return DEFERRABLE;
        }
        return switch (transaction.writes().getFirst().id().table()) {
            case SpendingService.TABLE,
                    ConversationService.TURN_TABLE,
                    ConversationService.DUE_TABLE ->
                    CLIENT_WAITS;
            default -> RECORD;
        };
    }
}
