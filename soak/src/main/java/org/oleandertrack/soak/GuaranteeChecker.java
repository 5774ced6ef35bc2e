package org.oleandertrack.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oleandertrack.standins.published.ExecutionLog;
import org.oleandertrack.standins.published.PublishedClient;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * Checks what callers and servers observed against the guarantees of the gateway: an order runs at
 * most once, a refused order has not run, a response belongs to its request, a stream has the
 * events of one software version, also over its caller's tries, and a program does not exceed its
 * token budget. An order is a request that must not run more than once. Thread-safe.
 */
final class GuaranteeChecker {

    // Statuses of refusals, which guarantee that the request has not run and will not run later.
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(402, 408, 421, 429, 503);
    private static final int OK_STATUS = 200;
    private static final int BUDGET_SPENT_STATUS = 402;
    private static final int NOT_FOUND_STATUS = 404;
    private static final String DATA_FIELD = "data: ";
    // No body begins with this text, so any run of a turn without predecessor is a violation.
    private static final String NEVER_TO_RUN = "must not run: ";

    /** Id of a turn that does not exist. */
    static final String FORGED_TURN_ID = "forged";

    private record Refusal(String requestId, int status) {}

    private final ExecutionLog mExecutionLog;
    private final List<String> mVersions;
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();
    private final Queue<Refusal> mRefusals = new ConcurrentLinkedQueue<>();
    // By request id: the body that a server must receive.
    private final Map<String, String> mExpectedBodies = new ConcurrentHashMap<>();
    // By the id of a turn that was answered whole: inputs and event data up to its end.
    private final Map<String, String> mConversations = new ConcurrentHashMap<>();
    private final Set<String> mAtMostOnceRequestIds = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicLong> mTokensByProgram = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mOutcomeCounts = new ConcurrentHashMap<>();

    GuaranteeChecker(ExecutionLog executionLog, List<String> versions) {
        mExecutionLog = executionLog;
        mVersions = versions;
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
     * @param turn the turn; empty for an order, which must not run more than once
     * @param streamId id of the request that began the stream: another one if it is taken up
     */
    void recordRequest(String requestId, Optional<PublishedClient.Turn> turn, String streamId) {
        if (turn.isEmpty()) {
            mAtMostOnceRequestIds.add(requestId);
        }
        String conversation =
                turn.flatMap(PublishedClient.Turn::previousTurnId)
                        .map(previous -> mConversations.getOrDefault(previous, NEVER_TO_RUN))
                        .orElse("");
        mExpectedBodies.put(requestId, conversation + PublishedClient.bodyOf(streamId));
    }

    void reportViolation(String violation) {
        mViolations.add(violation);
    }

    /**
     * Checks the response to a request, and adds the tokens of a turn's response to the tokens that
     * its program has received.
     *
     * @param streamId id of the request that began the stream: another one if it is taken up
     * @param earlierEvents the events of the stream that arrived before
     */
    void recordResponse(
            String requestId,
            Optional<PublishedClient.Turn> turn,
            String streamId,
            String earlierEvents,
            PublishedClient.Response response) {
        String outcome =
                response.status()
                        .map(Object::toString)
                        .orElse(response.connected() ? "cut" : "none");
        countOutcome(
                response.complete() || response.status().isEmpty() ? outcome : outcome + " cut");
        String text = earlierEvents + response.body();
        int status = response.status().orElse(0);
        if (status == NOT_FOUND_STATUS
                && turn.flatMap(PublishedClient.Turn::previousTurnId)
                        .filter(mConversations::containsKey)
                        .isPresent()) {
            reportViolation("LOST: " + requestId + " got " + response);
        }
        if (status == OK_STATUS && response.complete() && turn.isPresent()) {
            mConversations.put(
                    requestId,
                    mExpectedBodies.get(requestId)
                            + text.lines()
                                    .filter(line -> line.startsWith(DATA_FIELD))
                                    .map(line -> line.substring(DATA_FIELD.length()) + "\n")
                                    .collect(Collectors.joining()));
        }
        if (status == OK_STATUS) {
            boolean signed = response.signature().equals(PublishedServer.signatureOf(requestId));
            boolean matches =
                    expectedTexts(requestId, turn.isPresent(), streamId)
                            .anyMatch(
                                    expected ->
                                            response.complete()
                                                    ? text.equals(expected)
                                                    : expected.startsWith(text));
            if (!signed || !matches) {
                reportViolation(
                        "MIXED or ORDER: " + requestId + " got " + response + " for " + text);
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
            if (!execution.body().equals(mExpectedBodies.get(execution.requestId()))) {
                reportViolation("UNASKED: " + execution);
            }
        }
    }

    // Helpers

    private Stream<String> expectedTexts(String requestId, boolean isTurn, String streamId) {
        return isTurn
                ? mVersions.stream()
                        .map(version -> PublishedServer.expectedStream(streamId, version))
                : Stream.of(PublishedServer.expectedAnswer(requestId));
    }

    private void countOutcome(String outcome) {
        mOutcomeCounts.computeIfAbsent(outcome, key -> new AtomicLong()).incrementAndGet();
    }

    private void countTokens(PublishedClient.Turn turn, String body) {
        long events = body.lines().filter(line -> line.startsWith(DATA_FIELD)).count();
        long total =
                mTokensByProgram
                        .computeIfAbsent(turn.program(), key -> new AtomicLong())
                        .addAndGet(events * PublishedStore.TOKENS_PER_EVENT);
        if (total > turn.budgetTokens() + turn.maxTokens()) {
            reportViolation("BUDGET: " + turn + " received " + total + " tokens");
        }
    }
}
