package org.oleandertrack.gateway.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What targets answered to each request, and whether what a caller got agrees with it. */
final class AnswerLedger {

    /** Header with the id of the run that a response is the answer of. */
    static final String RUN_HEADER = "Run";

    /** Number of events of each stream. */
    static final int STREAM_EVENTS = 4;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^\n ]+) ([^\n]+)");
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /**
     * A request that a target received, and the target's answer to it.
     *
     * @param isRefused whether the target stated that it did not run the request
     * @param body the whole body; empty for a stream
     */
    record Run(String id, String requestId, int status, boolean isRefused, String body) {}

    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();
    private final AtomicInteger mRunCount = new AtomicInteger();

    /** Returns the number of runs that targets have begun for a request. */
    int runCount(String requestId) {
        List<Run> runs = mRuns.getOrDefault(requestId, List.of());
        synchronized (runs) {
            return runs.size();
        }
    }

    String runsOf(String requestId) {
        List<Run> runs = mRuns.getOrDefault(requestId, List.of());
        synchronized (runs) {
            return runs.toString();
        }
    }

    String newRunId() {
        return "run" + mRunCount.incrementAndGet();
    }

    void add(Run run) {
        List<Run> runs = mRuns.computeIfAbsent(run.requestId(), key -> new ArrayList<>());
        synchronized (runs) {
            runs.add(run);
        }
    }

    /**
     * Compares what a caller got with what the targets answered.
     *
     * @param line the start of the request, with its method
     * @param isRepeatable whether several targets may run the request
     * @param answer the bytes that the caller got, with {@code <closed>} at the end if they are cut
     * @return what is wrong, if anything is
     */
    Optional<String> findFault(String line, String requestId, boolean isRepeatable, String answer) {
        List<Run> runs = mRuns.getOrDefault(requestId, List.of());
        synchronized (runs) {
            return findFault(line, requestId, isRepeatable, answer, runs)
                    .map(fault -> fault + ": " + requestId + " " + runs + " got " + answer);
        }
    }

    private static Optional<String> findFault(
            String line, String requestId, boolean isRepeatable, String answer, List<Run> runs) {
        long executedCount = runs.stream().filter(run -> !run.isRefused()).count();
        if (executedCount > 1 && !isRepeatable) {
            return Optional.of("run twice");
        }
        int headEnd = answer.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return answer.equals("<closed>") ? Optional.empty() : Optional.of("cut head");
        }
        String head = answer.substring(0, headEnd + 4);
        String body = answer.substring(headEnd + 4);
        int status = Integer.parseInt(head.substring(9, 12));
        if (!ScriptedTarget.header(head, "Id").equals(requestId)) {
            return Optional.of("id of another request");
        }
        String runId = ScriptedTarget.header(head, RUN_HEADER);
        if (runId.isEmpty()) {
            boolean promisesNotRun = status == 503 || status == 429;
            if (promisesNotRun && executedCount > 0 && !isRepeatable) {
                return Optional.of("refused but run");
            }
            return status < 400 ? Optional.of("success of no target") : Optional.empty();
        }
        Optional<Run> run = runs.stream().filter(each -> each.id().equals(runId)).findFirst();
        if (run.isEmpty()) {
            return Optional.of("answer to another request");
        }
        if (run.get().status() != status) {
            return Optional.of("another status");
        }
        if (line.startsWith("HEAD")) {
            return body.isEmpty() ? Optional.empty() : Optional.of("body of a HEAD request");
        }
        if (head.contains("text/event-stream")) {
            return findStreamFault(requestId, body, runs);
        }
        if (body.endsWith("<closed>")) {
            return Optional.empty();
        }
        String content = head.contains("chunked") ? joinChunks(body) : body;
        return content.equals(run.get().body()) ? Optional.empty() : Optional.of("another body");
    }

    private static Optional<String> findStreamFault(String requestId, String body, List<Run> runs) {
        boolean isWhole = body.endsWith(LAST_CHUNK);
        String events = joinChunks(body);
        int next = 1;
        for (String event : events.split("\n\n", -1)) {
            if (event.isEmpty()) {
                continue;
            }
            Matcher matcher = EVENT.matcher(event);
            if (!matcher.matches()) {
                return Optional.of("no event of the stream");
            }
            boolean isOfRequest =
                    runs.stream().anyMatch(run -> run.id().equals(matcher.group(3)))
                            && matcher.group(2).equals(requestId);
            if (!isOfRequest || Integer.parseInt(matcher.group(1)) != next) {
                return Optional.of("event out of place");
            }
            next++;
        }
        return isWhole && next != STREAM_EVENTS + 1
                ? Optional.of("end before the last event")
                : Optional.empty();
    }

    private static String joinChunks(String body) {
        StringBuilder content = new StringBuilder();
        int position = 0;
        while (position < body.length()) {
            int lineEnd = body.indexOf("\r\n", position);
            if (lineEnd < 0 || body.startsWith("<closed>", position)) {
                break;
            }
            int length = Integer.parseInt(body.substring(position, lineEnd), 16);
            int start = lineEnd + 2;
            if (length == 0 || start + length > body.length()) {
                break;
            }
            content.append(body, start, start + length);
            position = start + length + 2;
        }
        return content.toString();
    }
}
