package org.oleandertrack.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.oleandertrack.standins.published.ExecutionLog;
import org.oleandertrack.standins.published.PublishedClient;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * Checks what callers and servers observed against the guarantees of the gateway: an order runs at
 * most once, a refused order has not run, a response belongs to its request, and a program does not
 * exceed its token budget. An order is a request that must not run more than once. Thread-safe.
 */
final class GuaranteeChecker {

    // Statuses of refusals, which guarantee that the request has not run and will not run later.
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(402, 408, 421, 429, 503);
    private static final int OK_STATUS = 200;
    private static final int BUDGET_SPENT_STATUS = 402;

    private record Refusal(String requestId, int status) {}

    private final ExecutionLog mExecutionLog;
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();
    private final Queue<Refusal> mRefusals = new ConcurrentLinkedQueue<>();
    private final Set<String> mSentRequestIds = ConcurrentHashMap.newKeySet();
    private final Set<String> mAtMostOnceRequestIds = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicLong> mTokensByProgram = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mOutcomeCounts = new ConcurrentHashMap<>();

    GuaranteeChecker(ExecutionLog executionLog) {
        mExecutionLog = executionLog;
    }

    // Accessors

    List<String> violations() {
        return List.copyOf(mViolations);
    }

    Map<String, Long> outcomeCounts() {
        Map<String, Long> counts = new HashMap<>();
        mOutcomeCounts.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }

    // Operations

    /**
     * Records a request before it is sent.
     *
     * @param atMostOnce whether the request must not run more than once
     */
    void recordRequest(String requestId, boolean atMostOnce) {
        mSentRequestIds.add(requestId);
        if (atMostOnce) {
            mAtMostOnceRequestIds.add(requestId);
        }
    }

    void reportViolation(String violation) {
        mViolations.add(violation);
    }

    /**
     * Checks the response to a request, and adds the tokens of a turn's response to the tokens that
     * its program has received.
     */
    void recordResponse(
            String requestId,
            java.util.Optional<PublishedClient.Turn> turn,
            PublishedClient.Response response) {
        String outcome =
                response.status()
                        .map(Object::toString)
                        .orElse(response.connected() ? "cut" : "none");
        countOutcome(
                response.complete() || response.status().isEmpty() ? outcome : outcome + " cut");
        String expected = PublishedServer.expectedBody(requestId, turn.isPresent());
        int status = response.status().orElse(0);
        if (status == OK_STATUS) {
            boolean signed = response.signature().equals(PublishedServer.signatureOf(requestId));
            boolean matches =
                    response.complete()
                            ? response.body().equals(expected)
                            : expected.startsWith(response.body());
            if (!signed || !matches) {
                reportViolation("MIXED: " + requestId + " got " + response);
            }
        } else if (NOT_RUN_STATUSES.contains(status) && response.signature().isEmpty()) {
            mRefusals.add(new Refusal(requestId, status));
        }
        turn.ifPresent(sentTurn -> countTokens(sentTurn, response.body()));
    }

    /** Checks the guarantees that can only be checked once no request is running any more. */
    void checkExecutions() {
        for (Refusal refusal : mRefusals) {
            if (!mExecutionLog.executionsOf(refusal.requestId()).isEmpty()
                    && (mAtMostOnceRequestIds.contains(refusal.requestId())
                            || refusal.status() == BUDGET_SPENT_STATUS)) {
                reportViolation(
                        "REFUSED: "
                                + refusal
                                + " has run: "
                                + mExecutionLog.executionsOf(refusal.requestId()));
            }
        }
        for (String requestId : mAtMostOnceRequestIds) {
            if (mExecutionLog.executionsOf(requestId).size() > 1) {
                reportViolation("TWICE: " + mExecutionLog.executionsOf(requestId));
            }
        }
        for (ExecutionLog.Execution execution : mExecutionLog.all()) {
            if (!mSentRequestIds.contains(execution.requestId())) {
                reportViolation("UNASKED: " + execution);
            }
        }
    }

    // Helpers

    private void countOutcome(String outcome) {
        mOutcomeCounts.computeIfAbsent(outcome, key -> new AtomicLong()).incrementAndGet();
    }

    private void countTokens(PublishedClient.Turn turn, String body) {
        long events = body.lines().filter(line -> line.startsWith("data: ")).count();
        long total =
                mTokensByProgram
                        .computeIfAbsent(turn.program(), key -> new AtomicLong())
                        .addAndGet(events * PublishedStore.TOKENS_PER_EVENT);
        if (total > turn.budgetTokens() + turn.maxTokens()) {
            reportViolation("BUDGET: " + turn + " received " + total + " tokens");
        }
    }
}
