package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.oleandertrack.standins.http.ConnectionAbortException;

/**
 * Simulates a model engine: a request waits for a slot, prefills the part of its prompt that is not
 * in the prefix cache, and generates its answer token by token. Thread-safe.
 */
final class Engine {

    private final EngineOptions mOptions;
    private final SlotQueue mSlots;
    private final CacheEventLog mEvents;
    private final PrefixCache mCache;
    private final LoadHistory mLoadHistory;
    private final EngineFaults mFaults = new EngineFaults();
    private final EngineStats mStats = new EngineStats();

    Engine(EngineOptions options, LongSupplier nanoClock) {
        mOptions = options;
        mLoadHistory = new LoadHistory(nanoClock, options.loadLagMillis(), options.cacheTokens());
        mSlots = new SlotQueue(options.slots(), mLoadHistory::recordSlots);
        mEvents = new CacheEventLog(nanoClock, options.eventLagMillis(), options.eventDropEvery());
        mCache = new PrefixCache(options.cacheTokens(), mEvents, mLoadHistory::recordCache);
    }

    // Accessors

    EngineFaults faults() {
        return mFaults;
    }

    EngineStats stats() {
        return mStats;
    }

    JsonNode load() {
        return mLoadHistory.report();
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

    /** Frees the cached prefixes of an owner and returns the number of tokens that it held. */
    long releaseCache(String cacheOwner) {
        return mCache.release(cacheOwner);
    }

    /**
     * Runs a request and writes its answer to a sink.
     *
     * @throws IOException if the connection is lost or the thread is interrupted, which both count
     *     as a cancelled request, or if a simulated fault cuts the answer
     */
    void run(CompletionRequest request, Answer answer, TokenSink sink) throws IOException {
        TokenSink.Usage usage;
        try {
            usage = runInSlot(request, answer, sink);
        } catch (InterruptedException e) {
            mStats.mCancelled.increment();
            Thread.currentThread().interrupt();
            throw new ConnectionAbortException(
                    "the thread was interrupted: the client has cancelled the request");
        } catch (IOException e) {
            mStats.mCancelled.increment();
            throw e;
        }
        if (usage.completionTokens() < answer.tokenCount()) {
            mStats.mCut.increment();
            throw new ConnectionAbortException("a simulated fault cuts the answer");
        }
        mStats.mFinished.increment();
        sink.onEnd(usage);
    }

    // Helpers

    private TokenSink.Usage runInSlot(CompletionRequest request, Answer answer, TokenSink sink)
            throws IOException, InterruptedException {
        mSlots.acquire(request.priority(), () -> mStats.recordStart(request));
        try {
            TokenSink.Usage usage = prefillAndGenerate(request, answer, sink);
            if (usage.completionTokens() == answer.tokenCount()) {
                cacheAnswer(request, answer);
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
        awaitEndOfHang(pacer);
        long promptTokens = request.prompt().tokenCount();
        long cachedTokens = mCache.cachedPrefixTokens(request.model(), request.prompt().blocks());
        mStats.mPromptTokensCached.add(cachedTokens);
        mStats.mPromptTokensComputed.add(promptTokens - cachedTokens);
        pacer.await(
                promptTokens - cachedTokens,
                mOptions.prefillTokensPerSecond(),
                mFaults.slowFactor());
        mCache.store(request.model(), request.cacheOwner(), request.prompt().blocks());
        int generatedTokens = 0;
        while (generatedTokens < answer.tokenCount() && !mFaults.isCutAfter(generatedTokens)) {
            awaitEndOfHang(pacer);
            pacer.await(1, mOptions.generatedTokensPerSecond(), mFaults.slowFactor());
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            sink.onToken(generatedTokens, answer.tokenText(generatedTokens));
            generatedTokens++;
            mStats.mTokensGenerated.increment();
        }
        return new TokenSink.Usage(promptTokens, cachedTokens, generatedTokens);
    }

    private void awaitEndOfHang(Pacer pacer) throws IOException {
        if (mFaults.awaitEndOfHang()) {
            pacer.restart();
        }
    }

    private void cacheAnswer(CompletionRequest request, Answer answer) {
        Prompt prompt = request.prompt();
        Prompt.Block block = Prompt.nextBlock(prompt.digest(), "assistant", answer.text());
        mCache.storeWithAnswer(request.model(), request.cacheOwner(), prompt.blocks(), block);
    }
}
