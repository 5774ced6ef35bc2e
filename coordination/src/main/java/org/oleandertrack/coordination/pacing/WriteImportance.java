package org.oleandertrack.coordination.pacing;

import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowTransaction;

/** Order in which writes are made while the store is over its rate, and how long each may wait. */
enum WriteImportance {
    /**
     * Stored turns: a client waits for the end of a response, and a target has done the work. The
     * turn's response ends without being kept after 1.8 s.
     */
    STORED_TURN(1_500),
    /** Grants: a client waits, but nothing has been done for it yet. */
    GRANT(600),
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
            case ConversationService.TURN_TABLE, ConversationService.DUE_TABLE -> STORED_TURN;
            case SpendingService.TABLE -> GRANT;
            default -> RECORD;
        };
    }
}
