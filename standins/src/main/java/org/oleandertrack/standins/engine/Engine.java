package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.oleandertrack.standins.http.ConnectionAbortException;

/** Runs requests in slots, with prefill, generation and the prefix cache. Thread-safe. */
final class Engine {

    private final EngineOptions mOptions;
    private final SlotQueue mSlots;
    private final CacheEventLog mEvents;
    private final PrefixCache mCache;
    private final LoadHistory mLoad;
    private final EngineFaults mFaults = new EngineFaults();
    private final EngineStats mStats = new EngineStats();

    Engine(EngineOptions options, LongSupplier nanoClock) {
        mOptions = options;
        mLoad = new LoadHistory(nanoClock, options.loadLagMillis(), options.cacheTokens());
        mSlots = new SlotQueue(options.slots(), mLoad::recordSlots);
        mEvents = new CacheEventLog(nanoClock, options.eventLagMillis(), options.eventDropEvery());
        mCache = new PrefixCache(options.cacheTokens(), mEvents, mLoad::recordCache);
    }

    // Accessors

    EngineFaults faults() {
        return mFaults;
    }

    EngineStats stats() {
        return mStats;
    }

    JsonNode load() {
        return mLoad.report();
    }

    JsonNode cacheEventsAfter(long sequence) {
        return mEvents.eventsAfter(sequence);
    }

    ObjectNode statsJson() {
        ObjectNode node = mStats.toJson();
        node.put("running", mSlots.running());
        node.put("waiting", mSlots.waiting());
        node.put("cacheUsedTokens", mCache.usedTokens());
        ObjectNode owners = node.putObject("tokensByCacheOwner");
        mCache.tokensByOwner().forEach(owners::put);
        return node;
    }

    // Operations

    /** Frees the prefixes of an owner and returns the tokens it held. */
    long release(String cacheOwner) {
        return mCache.release(cacheOwner);
    }

    /**
     * Runs a request and passes its answer on.
     *
     * @throws IOException if the connection is lost, or is to be cut as a fault; an interrupt of
     *     the thread counts as a lost connection
     */
    void run(CompletionRequest request, Answer answer, TokenSink sink) throws IOException {
        TokenSink.Usage usage;
        try {
            usage = runInSlot(request, answer, sink);
        } catch (InterruptedException e) {
            mStats.mCancelled.increment();
            Thread.currentThread().interrupt();
            throw new ConnectionAbortException("the client has cancelled the request");
        } catch (IOException e) {
            mStats.mCancelled.increment();
            throw e;
        }
        if (usage.completionTokens() < answer.tokens()) {
            mStats.mCut.increment();
            throw new ConnectionAbortException("the answer is cut on purpose");
        }
        mStats.mFinished.increment();
        sink.end(usage);
    }

    // Helpers

    private TokenSink.Usage runInSlot(CompletionRequest request, Answer answer, TokenSink sink)
            throws IOException, InterruptedException {
        mSlots.acquire(request.priority(), () -> mStats.addStart(request));
        try {
            TokenSink.Usage usage = prefillAndGenerate(request, answer, sink);
            if (usage.completionTokens() == answer.tokens()) {
                keepAnswer(request, answer);
            }
            return usage;
        } finally {
            mSlots.release();
        }
    }

    private TokenSink.Usage prefillAndGenerate(
            CompletionRequest request, Answer answer, TokenSink sink)
            throws IOException, InterruptedException {
        Pacer pacer = new Pacer();
        waitForProgress(pacer);
        long promptTokens = request.prompt().tokens();
        long cachedTokens = mCache.cachedTokens(request.model(), request.prompt().blocks());
        mStats.mPromptTokensCached.add(cachedTokens);
        mStats.mPromptTokensComputed.add(promptTokens - cachedTokens);
        pacer.await(
                promptTokens - cachedTokens,
                mOptions.prefillTokensPerSecond(),
                mFaults.slowFactor());
        mCache.store(request.model(), request.cacheOwner(), request.prompt().blocks());
        int generated = 0;
        while (generated < answer.tokens() && !mFaults.cutsAfter(generated)) {
            waitForProgress(pacer);
            pacer.await(1, mOptions.generatedTokensPerSecond(), mFaults.slowFactor());
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            sink.token(generated, answer.token(generated));
            generated++;
            mStats.mTokensGenerated.increment();
        }
        return new TokenSink.Usage(promptTokens, cachedTokens, generated);
    }

    private void waitForProgress(Pacer pacer) throws IOException {
        if (mFaults.awaitProgress()) {
            pacer.restart();
        }
    }

    private void keepAnswer(CompletionRequest request, Answer answer) {
        Prompt prompt = request.prompt();
        Prompt.Block block = Prompt.next(prompt.digest(), "assistant", answer.text());
        mCache.extend(request.model(), request.cacheOwner(), prompt.blocks(), block);
    }
}
