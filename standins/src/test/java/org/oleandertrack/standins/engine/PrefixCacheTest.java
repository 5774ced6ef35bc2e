package org.oleandertrack.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PrefixCacheTest {

    private static final String MODEL = "m";

    private final AtomicLong mNanos = new AtomicLong();
    private final CacheEventLog mEvents = new CacheEventLog(mNanos::get, 0, 0);
    private final PrefixCache mCache = new PrefixCache(10, mEvents, used -> {});

    /** Guards against counting a block as cached although an earlier block differs. */
    @Test
    void onlyBlocksOfAnUnbrokenPrefixCountAsCached() {
        mCache.store(MODEL, "o", blocks("a", 2, "ab", 3));

        assertEquals(5, mCache.cachedPrefixTokens(MODEL, blocks("a", 2, "ab", 3, "abc", 4)));
        assertEquals(2, mCache.cachedPrefixTokens(MODEL, blocks("a", 2, "ax", 3)));
        assertEquals(0, mCache.cachedPrefixTokens(MODEL, blocks("x", 2, "ab", 3)));
        assertEquals(0, mCache.cachedPrefixTokens("other", blocks("a", 2)));
    }

    /** Guards against freeing a shared block while another owner still holds it. */
    @Test
    void sharedBlockStaysUntilItsLastOwnerReleasesIt() {
        mCache.store(MODEL, "o1", blocks("a", 2, "ab", 3));
        mCache.store(MODEL, "o2", blocks("a", 2, "ac", 1));
        assertEquals(6, mCache.usedTokens());

        assertEquals(5, mCache.release("o1"));
        assertEquals(Map.of("o2", 3L), mCache.tokensByOwner());
        assertEquals(3, mCache.usedTokens());
        mCache.release("o2");
        assertEquals(0, mCache.usedTokens());
    }

    /**
     * Guards against evicting a recently used block, or the beginning of a prompt before its end.
     */
    @Test
    void leastRecentlyUsedPromptIsEvictedFromItsEnd() {
        mCache.store(MODEL, "o1", blocks("a", 2, "ab", 3));
        mCache.store(MODEL, "o2", blocks("x", 5));

        mCache.store(MODEL, "o3", blocks("y", 3));

        assertEquals(2, mCache.cachedPrefixTokens(MODEL, blocks("a", 2, "ab", 3)));
        assertEquals(Map.of("o1", 2L, "o2", 5L, "o3", 3L), mCache.tokensByOwner());
    }

    /**
     * Guards against a leak of cache memory when an owner is released while its answer is still
     * being generated: the finished answer must not be stored for it.
     */
    @Test
    void answerIsNotStoredAfterARelease() {
        List<Prompt.Block> prompt = blocks("a", 2);
        mCache.store(MODEL, "o", prompt);
        mCache.storeWithAnswer(MODEL, "o", prompt, new Prompt.Block("ab", 1));
        assertEquals(3, mCache.usedTokens());
        mCache.release("o");

        mCache.storeWithAnswer(MODEL, "o", prompt, new Prompt.Block("ab", 1));

        assertEquals(0, mCache.usedTokens());
    }

    /** Guards against a change of the cache that no event reports. */
    @Test
    void eventsAddUpToTheTokensThatOwnersHold() {
        mCache.store(MODEL, "o1", blocks("a", 6));
        mCache.store(MODEL, "o2", blocks("x", 6));
        mCache.release("o2");

        JsonNode events = mEvents.eventsAfter(0).path("events");
        assertEquals(
                List.of("stored o1 6", "stored o2 6", "evicted o1 6", "evicted o2 6"),
                events.valueStream().map(PrefixCacheTest::describe).toList());
        assertEquals(Map.of(), mCache.tokensByOwner());
    }

    private static String describe(JsonNode event) {
        return event.path("kind").asText()
                + " "
                + event.path("cache_owner").asText()
                + " "
                + event.path("tokens").asText();
    }

    private static List<Prompt.Block> blocks(String digest, long tokens) {
        return List.of(new Prompt.Block(digest, tokens));
    }

    private static List<Prompt.Block> blocks(String d1, long t1, String d2, long t2) {
        return List.of(new Prompt.Block(d1, t1), new Prompt.Block(d2, t2));
    }

    private static List<Prompt.Block> blocks(
            String d1, long t1, String d2, long t2, String d3, long t3) {
        return List.of(
                new Prompt.Block(d1, t1), new Prompt.Block(d2, t2), new Prompt.Block(d3, t3));
    }
}
