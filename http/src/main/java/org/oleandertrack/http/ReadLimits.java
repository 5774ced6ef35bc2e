package org.oleandertrack.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits what is read from one connection before the other connections of its event loop have their
 * turn, so that a peer that sends without pause does not keep the loop from the others.
 */
enum ReadLimits {
    /** For senders that decide freely what they send, and whose bytes are decoded one by one. */
    SINGLE_READ(1),
    /**
     * For the store and for other hosts, whose responses are only collected. A busy host takes
     * about 100 ms a turn, so that less than this would be slower than a link of 20 Mbit/s, and the
     * largest rows would take seconds.
     */
    BULK(16);

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final int mReadsPerTurn;

    ReadLimits(int readsPerTurn) {
        mReadsPerTurn = readsPerTurn;
    }

    /** Returns an allocator for the socket option of a connection, or of a server's connections. */
    RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(mReadsPerTurn);
    }
}
