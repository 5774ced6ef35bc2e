package org.oleandertrack.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits what is read from one connection before the other connections of its event loop have their
 * turn, so that a peer that sends without pause delays the others by one read at most.
 */
final class ReadLimits {

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int READS_PER_TURN = 1;

    private ReadLimits() {}

    /** Returns an allocator for the socket option of a connection, or of a server's connections. */
    static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(READS_PER_TURN);
    }
}
