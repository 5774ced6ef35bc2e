package org.oleandertrack.gateway.host;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A target that answers requests and writes second responses on the same connections, at once or
 * when the next request arrives. What it does with a request depends only on the seed, the
 * request's id and the number of its runs.
 */
final class StutteringTarget implements Closeable {

    /** What a target may do besides answering each request and writing whole second responses. */
    enum Habit {
        /** Breaks off streams that another target may resume, or writes on behind them. */
        BREAK_STREAMS,
        /** Breaks off bodies that are longer than a gateway buffers. */
        BREAK_LONG_BODIES,
        /** Writes anything, also events, behind bodies whose end is that of the connection. */
        WRITE_BEHIND_UNBOUNDED_BODIES,
        /** Writes a second response into a body that is shorter than its stated length. */
        WRITE_INTO_CUT_BODIES
    }

    private enum Outcome {
        SUCCESS,
        FAILURE,
        REFUSAL,
        BREAK
    }

    private enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    private static final List<Framing> FRAMINGS = List.of(Framing.values());
    private static final int[] SUCCESSES = {200, 200, 200, 201, 204};
    private static final int[] FAILURES = {500, 504, 400, 404};
    private static final int[] REFUSALS = {503, 429, 421};
    private static final int LONG_BODY_CHARS = 300_000;
    // Long bodies are cut behind the part that a gateway buffers.
    private static final int LAST_PART_CHARS = 30_000;
    // Has the form of events.
    private static final String GARBAGE = "\r\n\u0001x: garbage\r\n\r\ndata: garbage\n\n";
    private static final int NOISE_KINDS = 9;
    private static final int NOISE_KINDS_WITH_HEAD = 8;

    private final long mSeed;
    private final AnswerLedger mLedger;
    private final Set<Habit> mHabits;
    private final ScriptedTarget mTarget;
    private final Map<Socket, String> mHeldBack = new ConcurrentHashMap<>();

    StutteringTarget(long seed, AnswerLedger ledger, Set<Habit> habits) throws IOException {
        mSeed = seed;
        mLedger = ledger;
        mHabits = habits;
        mTarget = new ScriptedTarget((exchange, number) -> handle(exchange));
    }

    ScriptedTarget scripted() {
        return mTarget;
    }

    @Override
    public void close() throws IOException {
        mTarget.close();
    }

    private void handle(ScriptedTarget.Exchange exchange) throws IOException {
        String heldBack = mHeldBack.remove(exchange.socket());
        if (heldBack != null) {
            exchange.write(heldBack);
        }
        String id = exchange.id();
        Random random = new Random(mSeed * 31 + (id + "/" + mLedger.runCount(id)).hashCode());
        Answer answer = Answer.choose(this, exchange, random);
        mLedger.add(answer.run());
        answer.write(exchange, random);
        if (answer.isLastOnConnection()) {
            exchange.socket().close();
            return;
        }
        String second = secondResponse(answer, exchange, random);
        if (random.nextInt(3) == 0) {
            exchange.write(second);
        } else if (!second.isEmpty()) {
            mHeldBack.put(exchange.socket(), second);
        }
    }

    private String secondResponse(Answer answer, ScriptedTarget.Exchange exchange, Random random) {
        String id = "Id: " + exchange.id() + "\r\n";
        String noise = noise(id, answer.run().id(), random, NOISE_KINDS);
        return switch (random.nextInt(6)) {
            case 0 -> noise;
            // A second response that is cut off anywhere.
            case 1 -> noise.substring(0, random.nextInt(noise.length() + 1));
            default -> "";
        };
    }

    private static String noise(String id, String runId, Random random, int kinds) {
        String run = AnswerLedger.RUN_HEADER + ": " + runId + "\r\n";
        String text = "second";
        String length = "Content-Length: " + text.length() + "\r\n\r\n" + text;
        return switch (random.nextInt(kinds)) {
            case 0 -> "HTTP/1.1 200 OK\r\n" + id + run + length;
            case 1 -> "HTTP/1.1 200 OK\r\nServer: x\r\n" + run + id + length;
            case 2 -> "HTTP/1.1 500 X\r\n" + id + run + length;
            case 3 -> "HTTP/1.1 503 X\r\n" + id + "Not-Executed: 1\r\n" + length;
            case 4 -> "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + length;
            case 5 -> "HTTP/1.1 421 X\r\n" + length;
            case 6 ->
                    "HTTP/1.1 200 OK\r\n"
                            + id
                            + run
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + "10\r\nid: 1\ndata: x y\n\n\r\n0\r\n\r\n";
            case 7 -> "HTTP/1.1 204 X\r\n" + id + run + "\r\n";
            default -> GARBAGE;
        };
    }

    private boolean has(Habit habit) {
        return mHabits.contains(habit);
    }

    /**
     * The answer to a request.
     *
     * @param head status line and headers, without those of the framing
     * @param content the whole content, also if it is not written as a whole
     * @param cutAt number of characters of the content after which the target stops, if it does
     * @param behind bytes that follow the content
     */
    private record Answer(
            AnswerLedger.Run run,
            String head,
            String content,
            Framing framing,
            Optional<Integer> cutAt,
            String behind,
            boolean isReset) {

        static Answer choose(
                StutteringTarget target, ScriptedTarget.Exchange exchange, Random random) {
            boolean isStream =
                    exchange.head().startsWith("POST /turn")
                            || exchange.head().startsWith("POST /talk");
            boolean isRepeatableStream = exchange.head().startsWith("POST /turn");
            boolean isHead = exchange.head().startsWith("HEAD");
            Outcome outcome = chooseOutcome(random);
            int status =
                    switch (outcome) {
                        case SUCCESS, BREAK ->
                                isStream ? 200 : SUCCESSES[random.nextInt(SUCCESSES.length)];
                        case FAILURE -> FAILURES[random.nextInt(FAILURES.length)];
                        case REFUSAL -> REFUSALS[random.nextInt(REFUSALS.length)];
                    };
            boolean isEvents = isStream && status == 200;
            boolean isRefused = outcome == Outcome.REFUSAL;
            String runId = target.mLedger.newRunId();
            String id = exchange.id();
            boolean isLong = !isStream && outcome != Outcome.REFUSAL && random.nextInt(12) == 0;
            String content = isEvents ? events(exchange, runId) : "text of " + runId + " for " + id;
            if (isLong) {
                content += "x".repeat(LONG_BODY_CHARS);
            }
            if (status == 204 || isHead) {
                content = "";
            }
            Framing framing =
                    status == 204 || isHead
                            ? Framing.LENGTH
                            : FRAMINGS.get(random.nextInt(FRAMINGS.size()));
            String head =
                    "HTTP/1.1 "
                            + status
                            + " X\r\n"
                            + (isRefused && random.nextBoolean() ? "" : "Id: " + id + "\r\n")
                            + AnswerLedger.RUN_HEADER
                            + ": "
                            + runId
                            + "\r\n"
                            + (isRefused ? "Not-Executed: 1\r\n" : "")
                            + (isEvents ? "Content-Type: text/event-stream\r\n" : "");
            boolean breaks =
                    outcome == Outcome.BREAK
                            && (!isRepeatableStream || target.has(Habit.BREAK_STREAMS))
                            && (!isLong || target.has(Habit.BREAK_LONG_BODIES));
            // The end of a body without length cannot be told from a break, except by a reset.
            boolean isReset = random.nextBoolean() || framing == Framing.END_OF_CONNECTION;
            Optional<Integer> cutAt =
                    breaks ? Optional.of(chooseCut(content, random)) : Optional.empty();
            boolean writesOn =
                    framing == Framing.END_OF_CONNECTION
                            ? isEvents || target.has(Habit.WRITE_BEHIND_UNBOUNDED_BODIES)
                            : breaks && target.has(Habit.WRITE_INTO_CUT_BODIES);
            int kinds =
                    target.has(Habit.WRITE_BEHIND_UNBOUNDED_BODIES)
                            ? NOISE_KINDS
                            : NOISE_KINDS_WITH_HEAD;
            String behind =
                    writesOn
                                    && (!isRepeatableStream || target.has(Habit.BREAK_STREAMS))
                                    && random.nextInt(3) == 0
                            ? noise("Id: " + id + "\r\n", runId, random, kinds)
                            : "";
            AnswerLedger.Run run = new AnswerLedger.Run(runId, id, status, isRefused, content);
            return new Answer(run, head, content, framing, cutAt, behind, isReset);
        }

        private static int chooseCut(String content, Random random) {
            int last = Math.min(content.length(), LAST_PART_CHARS);
            return content.length() - random.nextInt(last + 1);
        }

        private static Outcome chooseOutcome(Random random) {
            int percent = random.nextInt(100);
            if (percent < 60) {
                return Outcome.SUCCESS;
            }
            if (percent < 80) {
                return Outcome.FAILURE;
            }
            return percent < 90 ? Outcome.REFUSAL : Outcome.BREAK;
        }

        private static String events(ScriptedTarget.Exchange exchange, String runId) {
            String resumeAfter = ScriptedTarget.header(exchange.head(), "Resume-After");
            int first = resumeAfter.isEmpty() ? 1 : Integer.parseInt(resumeAfter) + 1;
            StringBuilder events = new StringBuilder();
            for (int i = first; i <= AnswerLedger.STREAM_EVENTS; i++) {
                events.append("id: ").append(i).append("\ndata: ");
                events.append(exchange.id()).append(' ').append(runId).append("\n\n");
            }
            return events.toString();
        }

        boolean isLastOnConnection() {
            return framing == Framing.END_OF_CONNECTION || cutAt.isPresent();
        }

        void write(ScriptedTarget.Exchange exchange, Random random) throws IOException {
            if (random.nextInt(8) == 0) {
                exchange.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
            }
            String written = content.substring(0, cutAt.orElse(content.length()));
            boolean isHead = exchange.head().startsWith("HEAD");
            String bytes =
                    switch (framing) {
                        case LENGTH ->
                                run.status() == 204
                                        ? head + "\r\n"
                                        : head
                                                + "Content-Length: "
                                                + (isHead ? 8 : content.length())
                                                + "\r\n\r\n"
                                                + written;
                        case CHUNKS -> head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(written);
                        case END_OF_CONNECTION -> head + "\r\n" + written;
                    };
            if (framing == Framing.CHUNKS && cutAt.isEmpty()) {
                bytes += "0\r\n\r\n";
            }
            bytes += behind;
            // Parts of a response may arrive one by one.
            int middle = random.nextInt(bytes.length() + 1);
            exchange.write(bytes.substring(0, middle));
            exchange.write(bytes.substring(middle));
            if (cutAt.isPresent() && isReset) {
                exchange.reset();
            }
        }

        private static String chunk(String text) {
            return text.isEmpty()
                    ? ""
                    : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }
}
