package org.oleandertrack.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.OptionalInt;

/**
 * Limits what is read from one connection before the other connections of its event loop have their
 * turn, so that a peer that sends without pause does not keep the loop from the others.
 */
enum ReadLimits {
    /** For senders that decide freely what they send, and whose bytes are decoded one by one. */
    SINGLE_READ(1, OptionalInt.empty()),
    /**
     * For the store and for other hosts, whose responses are only collected. A busy host takes 100
     * ms to a second a turn, so a response needs few turns to arrive in time; the store returns at
     * most 1 MB of rows.
     */
    BULK(64, OptionalInt.of(1024 * 1024));

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final int mReadsPerTurn;
    private final OptionalInt mReceiveBufferBytes;

    ReadLimits(int readsPerTurn, OptionalInt receiveBufferBytes) {
        mReadsPerTurn = readsPerTurn;
        mReceiveBufferBytes = receiveBufferBytes;
    }

    /**
     * Returns the size of the system's receive buffer, which bounds what arrives during a turn;
     * empty for the system's own choice.
     */
    OptionalInt receiveBufferBytes() {
        return mReceiveBufferBytes;
    }

    /** Returns an allocator for the socket option of a connection, or of a server's connections. */
    RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(mReadsPerTurn);
    }
}
