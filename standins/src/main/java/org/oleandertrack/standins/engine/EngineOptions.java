package org.oleandertrack.standins.engine;

import java.util.List;

/**
 * Settings of the simulated model engine. A rate of 0 means no delay.
 *
 * @param slots number of requests that run at once
 * @param cacheTokens capacity of the prefix cache
 * @param eventLagMillis time after which a cache event becomes visible
 * @param eventDropEvery interval n at which every n-th cache event is dropped; 0 drops none
 * @param loadLagMillis age of the load in a load report
 * @param checkFence whether model commands with a fencing number lower than a previous one are
 *     refused
 * @param requestIdHeader header whose value the statistics report as the request id
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

    /** Returns settings without any delay or lag, with one loaded model named {@code model}. */
    public static EngineOptions immediate() {
        return new EngineOptions(
                8, 0, 0, 1_000_000, 0, 0, 0, List.of("model"), false, "X-Request-Id");
    }
}
