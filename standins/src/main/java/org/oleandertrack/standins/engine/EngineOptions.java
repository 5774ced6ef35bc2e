package org.oleandertrack.standins.engine;

import java.util.List;

/**
 * Settings of the model engine. A rate of 0 means no delay.
 *
 * @param eventDropEvery each n-th cache event is dropped; 0 drops none
 */
public record EngineOptions(
        int slots,
        double generatedTokensPerSecond,
        double prefillTokensPerSecond,
        long cacheTokens,
        long eventLagMillis,
        long eventDropEvery,
        long loadLagMillis,
        List<String> models,
        boolean checkFence,
        String requestIdHeader) {

    /** Returns settings without delays and lags, for one model named {@code model}. */
    public static EngineOptions immediate() {
        return new EngineOptions(
                8, 0, 0, 1_000_000, 0, 0, 0, List.of("model"), false, "X-Request-Id");
    }
}
