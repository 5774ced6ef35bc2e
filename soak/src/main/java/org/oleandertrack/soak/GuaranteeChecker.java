package org.oleandertrack.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oleandertrack.standins.published.ExecutionLog;
import org.oleandertrack.standins.published.PublishedClient;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * Checks what callers and servers observed against the guarantees of the gateway: an order runs at
 * most once, a refused order has not run, a response belongs to its request and ends in time, a
 * stop cuts no request, a stream has the events of one software version, also over its caller's
 * tries, and a program does not exceed its token budget. An order is a request that must not run
 * more than once. Thread-safe.
 */
final class GuaranteeChecker {

    // Statuses of refusals, which guarantee that the request has not run and will not run later.
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(402, 408, 421, 429, 503);
    private static final int OK_STATUS = 200;
    private static final int BUDGET_SPENT_STATUS = 402;
    private static final int NOT_FOUND_STATUS = 404;
    private static final int MIN_FAILURE_STATUS = 400;
    private static final String ORDER_PREFIX = "/order/";
    private static final int SHOWN_CHARS = 60;
    private static final long END_LIMIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(PublishedClient.DEADLINE_MILLIS + 500);
    // A request whose connection ends sooner may have crossed the close of the connection.
    private static final long LOSS_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    // A request that lasts longer may be broken off.
    private static final long ROUTE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final String DATA_FIELD = "data: ";
    // No body begins with this text, so any run of a turn without predecessor is a violation.
    private static final String NEVER_TO_RUN = "must not run: ";

    /** Id of a turn that does not exist. */
    static final String FORGED_TURN_ID = "forged";

    /**
     * A request of a caller.
     *
     * @param turn the turn; empty for an order or a lookup
     * @param streamId id of the request that began the stream: another one if it is taken up
     * @param earlierEvents the events of the stream that arrived before
     */
    record Call(
            String requestId,
            String path,
            Optional<PublishedClient.Turn> turn,
            String streamId,
            String earlierEvents) {}

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
    private volatile boolean mIsCalm;
    private volatile long mCalmNanos;

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

    /** Records a request before it is sent. */
    void recordRequest(Call call) {
        if (call.path().startsWith(ORDER_PREFIX)) {
            mAtMostOnceRequestIds.add(call.requestId());
        }
        String conversation =
                call.turn()
                        .flatMap(PublishedClient.Turn::previousTurnId)
                        .map(previous -> mConversations.getOrDefault(previous, NEVER_TO_RUN))
                        .orElse("");
        mExpectedBodies.put(
                call.requestId(), conversation + PublishedClient.bodyOf(call.streamId()));
    }

    void reportViolation(String violation) {
        mViolations.add(violation);
    }

    /** Checks the requests that are sent from now on as those that no fault excuses. */
    void beginCalm() {
        mCalmNanos = System.nanoTime();
        mIsCalm = true;
    }

    /**
     * Checks the response to a request, and adds the tokens of a turn's response to the tokens that
     * its program has received.
     */
    void recordResponse(Call call, PublishedClient.Response response) {
        String outcome =
                response.status()
                        .map(Object::toString)
                        .orElse(response.connected() ? "cut" : "none");
        countOutcome(
                response.complete() || response.status().isEmpty() ? outcome : outcome + " cut");
        int status = response.status().orElse(0);
        if (status == NOT_FOUND_STATUS
                && call.turn()
                        .flatMap(PublishedClient.Turn::previousTurnId)
                        .filter(mConversations::containsKey)
                        .isPresent()) {
            reportViolation("LOST: " + describe(call, response));
        }
        String text = call.earlierEvents() + response.body();
        if (status == OK_STATUS && response.complete() && call.turn().isPresent()) {
            mConversations.put(
                    call.requestId(),
                    mExpectedBodies.get(call.requestId())
                            + text.lines()
                                    .filter(line -> line.startsWith(DATA_FIELD))
                                    .map(line -> line.substring(DATA_FIELD.length()) + "\n")
                                    .collect(Collectors.joining()));
        }
        checkOwner(call, response, status);
        if (status == OK_STATUS) {
            checkSuccess(call, response, text);
        } else if (NOT_RUN_STATUSES.contains(status) && response.signature().isEmpty()) {
            mRefusals.add(new Refusal(call.requestId(), status));
        }
        call.turn().ifPresent(sentTurn -> countTokens(sentTurn, response.body()));
    }

    /**
     * Checks that a response has ended in time, and that a stop in calm has not cut it.
     *
     * @param sentNanos when the request was sent
     */
    void checkTime(Call call, Gateway gateway, long sentNanos, PublishedClient.Response response) {
        if (response.durationNanos() > END_LIMIT_NANOS && !gateway.wasFrozenSince(sentNanos)) {
            reportViolation(
                    "CONFIG: no end in time at "
                            + gateway.name()
                            + ": "
                            + describe(call, response));
        }
        boolean answered = response.status().isPresent() && response.complete();
        boolean brokenOff = response.connected() && !answered;
        if (!mIsCalm || sentNanos < mCalmNanos || !brokenOff) {
            return;
        }
        boolean wasRead =
                response.durationNanos() > LOSS_SLACK_NANOS
                        || !mExecutionLog.executionsOf(call.requestId()).isEmpty();
        if (wasRead && response.durationNanos() < ROUTE_TIMEOUT_NANOS) {
            reportViolation("LOST: cut by " + gateway.name() + ": " + describe(call, response));
        }
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

    /** Checks that the response names and is signed for its request, with the server's status. */
    private void checkOwner(Call call, PublishedClient.Response response, int status) {
        boolean named =
                response.echoedId().isEmpty() || response.echoedId().equals(call.requestId());
        boolean signed =
                response.signature().isEmpty()
                        || signingExecutions(call, response)
                                .anyMatch(execution -> execution.status() == status);
        if (!named || !signed) {
            reportViolation("MIXED: another request's: " + describe(call, response));
        }
    }

    private void checkSuccess(Call call, PublishedClient.Response response, String text) {
        List<ExecutionLog.Execution> executions = mExecutionLog.executionsOf(call.requestId());
        if (response.signature().isEmpty()) {
            reportViolation("MIXED: not signed: " + describe(call, response));
        }
        boolean endless = executions.stream().anyMatch(ExecutionLog.Execution::endless);
        String part = endless ? PublishedServer.withoutFiller(text) : text;
        boolean matches =
                expectedTexts(call, response)
                        .anyMatch(
                                expected ->
                                        response.complete()
                                                ? text.equals(expected)
                                                : expected.startsWith(part));
        if (!matches) {
            reportViolation("MIXED or ORDER: " + describe(call, response));
        }
        boolean lastFailed =
                !executions.isEmpty() && executions.getLast().status() >= MIN_FAILURE_STATUS;
        if (response.complete() && lastFailed) {
            reportViolation("MIXED: the last server failed: " + describe(call, response));
        }
    }

    private Stream<ExecutionLog.Execution> signingExecutions(
            Call call, PublishedClient.Response response) {
        return mExecutionLog.executionsOf(call.requestId()).stream()
                .filter(
                        execution ->
                                PublishedServer.signatureOf(call.requestId(), execution.serverId())
                                        .equals(response.signature()));
    }

    private Stream<String> expectedTexts(Call call, PublishedClient.Response response) {
        return call.turn().isPresent()
                ? mVersions.stream()
                        .map(version -> PublishedServer.expectedStream(call.streamId(), version))
                : signingExecutions(call, response)
                        .map(
                                execution ->
                                        PublishedServer.expectedAnswer(
                                                call.requestId(),
                                                execution.serverId(),
                                                call.path()));
    }

    private String describe(Call call, PublishedClient.Response response) {
        String executions =
                mExecutionLog.executionsOf(call.requestId()).stream()
                        .map(
                                execution ->
                                        execution.serverId()
                                                + " "
                                                + execution.status()
                                                + (execution.endless() ? " endless" : ""))
                        .collect(Collectors.joining(", "));
        String body = response.body();
        int length = body.length();
        return "%s %s got %s%s after %d ms, signed '%s', id '%s', %d characters '%s'..'%s', run by [%s] %s"
                .formatted(
                        call.requestId(),
                        call.path(),
                        response.status().map(Object::toString).orElse("no response"),
                        response.complete() ? "" : " cut",
                        TimeUnit.NANOSECONDS.toMillis(response.durationNanos()),
                        response.signature(),
                        response.echoedId(),
                        length,
                        body.substring(0, Math.min(length, SHOWN_CHARS)),
                        body.substring(Math.max(0, length - SHOWN_CHARS)),
                        executions,
                        response.failure())
                .replace("\n", "\\n");
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
