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

/** What callers and servers saw, checked against what a gateway promises. Thread-safe. */
final class Promises {

    // Answers that promise that the request has not run and never will.
    private static final Set<Integer> NOT_RUN = Set.of(402, 408, 421, 429, 503);
    private static final int OK = 200;
    private static final int BUDGET_SPENT = 402;

    private record Refusal(String requestId, int status) {}

    private final ExecutionLog mRuns;
    private final Queue<String> mBroken = new ConcurrentLinkedQueue<>();
    private final Queue<Refusal> mRefusals = new ConcurrentLinkedQueue<>();
    private final Set<String> mSent = ConcurrentHashMap.newKeySet();
    private final Set<String> mOnce = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicLong> mTokens = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mCounts = new ConcurrentHashMap<>();

    Promises(ExecutionLog runs) {
        mRuns = runs;
    }

    // Accessors

    List<String> broken() {
        return List.copyOf(mBroken);
    }

    Map<String, Long> counts() {
        Map<String, Long> counts = new HashMap<>();
        mCounts.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }

    // Operations

    void sent(String requestId, boolean once) {
        mSent.add(requestId);
        if (once) {
            mOnce.add(requestId);
        }
    }

    void broken(String what) {
        mBroken.add(what);
    }

    /** Takes the answer to a request; the events of a turn count against its program's budget. */
    void answered(
            String requestId,
            java.util.Optional<PublishedClient.Turn> turn,
            PublishedClient.Response answer) {
        String outcome =
                answer.status().map(Object::toString).orElse(answer.connected() ? "cut" : "none");
        count(answer.complete() || answer.status().isEmpty() ? outcome : outcome + " cut");
        String expected = PublishedServer.expectedBody(requestId, turn.isPresent());
        int status = answer.status().orElse(0);
        if (status == OK) {
            boolean signed = answer.signature().equals(PublishedServer.signatureOf(requestId));
            boolean right =
                    answer.complete()
                            ? answer.body().equals(expected)
                            : expected.startsWith(answer.body());
            if (!signed || !right) {
                broken("MIXED: " + requestId + " got " + answer);
            }
        } else if (NOT_RUN.contains(status) && answer.signature().isEmpty()) {
            mRefusals.add(new Refusal(requestId, status));
        }
        turn.ifPresent(t -> countTokens(t, answer.body()));
    }

    /** Checks what can be told only when nothing runs any more. */
    void checkRuns() {
        for (Refusal refusal : mRefusals) {
            if (!mRuns.executionsOf(refusal.requestId()).isEmpty()
                    && (mOnce.contains(refusal.requestId()) || refusal.status() == BUDGET_SPENT)) {
                broken(
                        "REFUSED: "
                                + refusal
                                + " has run: "
                                + mRuns.executionsOf(refusal.requestId()));
            }
        }
        for (String requestId : mOnce) {
            if (mRuns.executionsOf(requestId).size() > 1) {
                broken("TWICE: " + mRuns.executionsOf(requestId));
            }
        }
        for (ExecutionLog.Execution run : mRuns.all()) {
            if (!mSent.contains(run.requestId())) {
                broken("UNASKED: " + run);
            }
        }
    }

    // Helpers

    private void count(String outcome) {
        mCounts.computeIfAbsent(outcome, key -> new AtomicLong()).incrementAndGet();
    }

    private void countTokens(PublishedClient.Turn turn, String body) {
        long events = body.lines().filter(line -> line.startsWith("data: ")).count();
        long total =
                mTokens.computeIfAbsent(turn.program(), key -> new AtomicLong())
                        .addAndGet(events * PublishedStore.TOKENS_PER_EVENT);
        if (total > turn.budgetTokens() + turn.maxTokens()) {
            broken("BUDGET: " + turn + " was handed " + total + " tokens");
        }
    }
}
