package org.oleandertrack.coordination.conversation;

/**
 * Limits of a {@link ConversationService}. Immutable.
 *
 * @param cacheBytes bytes of recently used conversations that a host keeps in memory
 * @param repeatedWriteBytes size of all unanswered writes up to which a host repeats one
 */
public record ConversationLimits(long cacheBytes, long repeatedWriteBytes) {

    // A host of the platform has a heap of 64 MB, most of it for calls in progress.
    private static final long DEFAULT_CACHE_BYTES = 6 * 1024 * 1024;
    private static final long DEFAULT_REPEATED_WRITE_BYTES = 4 * 1024 * 1024;

    /** Limits for a host with a heap of 64 MB. */
    public static final ConversationLimits DEFAULT =
            new ConversationLimits(DEFAULT_CACHE_BYTES, DEFAULT_REPEATED_WRITE_BYTES);

    /** Returns these limits with another size of the cache. */
    public ConversationLimits withCacheBytes(long bytes) {
        return new ConversationLimits(bytes, repeatedWriteBytes);
    }
}
