package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/** What of a turn's answer reaches the caller before the turn is durable. */
final class TurnAnswerTest {

    private static final int MAX_BYTES = 1_000;
    private static final ResponseHead HEAD = ResponseHead.newBuilder().setStatus(200).build();
    private static final String EVENT = "data: {\"n\":1}\n\n";
    private static final String END = "data: [DONE]\n\n";

    private final RecordingSink mCaller = new RecordingSink();
    private final TurnAnswer mStreamed = new TurnAnswer(mCaller, true, MAX_BYTES);
    private final TurnAnswer mWhole = new TurnAnswer(mCaller, false, MAX_BYTES);

    /** Guards against streamed parts that wait for the commit of the turn. */
    @Test
    void streamedEventsArePassedOnAtOnce() {
        mStreamed.head(HEAD);
        assertEquals(1, mCaller.heads().size());
        send(mStreamed, EVENT);
        assertEquals(EVENT, mCaller.text());
        send(mStreamed, EVENT);
        assertEquals(EVENT + EVENT, mCaller.text());
    }

    /** Guards against a caller that sees the end of a turn that is not durable yet. */
    @Test
    void endMarkWaitsForRelease() {
        mStreamed.head(HEAD);
        send(mStreamed, EVENT + END);
        mStreamed.end();
        assertEquals(EVENT, mCaller.text());
        assertEquals(0, mCaller.ends());

        mStreamed.release();
        assertEquals(EVENT + END, mCaller.text());
        assertEquals(1, mCaller.ends());
    }

    /** Guards against an end mark that escapes because a part boundary cuts it. */
    @Test
    void endMarkInAnyTwoPiecesIsHeldBack() {
        String body = EVENT + END;
        for (int cut = 0; cut <= body.length(); cut++) {
            RecordingSink caller = new RecordingSink();
            TurnAnswer answer = new TurnAnswer(caller, true, MAX_BYTES);
            answer.head(HEAD);
            send(answer, body.substring(0, cut));
            send(answer, body.substring(cut));
            assertEquals(EVENT, caller.text(), "cut at " + cut);
            answer.release();
            assertEquals(body, caller.text(), "cut at " + cut);
        }
    }

    /** Guards against an end mark that escapes when each byte arrives alone. */
    @Test
    void endMarkInSingleBytesIsHeldBack() {
        mStreamed.head(HEAD);
        for (char c : (EVENT + END).toCharArray()) {
            send(mStreamed, String.valueOf(c));
        }
        assertEquals(EVENT, mCaller.text());
    }

    /** Guards against an end mark that is missed after lines that end in CR LF. */
    @Test
    void endMarkAfterCarriageReturnIsHeldBack() {
        mStreamed.head(HEAD);
        send(mStreamed, "data: {}\r\n\r\ndata: [DONE]\r\n\r\n");
        assertEquals("data: {}\r\n\r\n", mCaller.text());
    }

    /** Guards against generated text that stops the stream because it looks like the end mark. */
    @Test
    void textLikeTheEndMarkInsideAnEventIsPassedOn() {
        String event = "data: {\"content\":\"data: [DONE]\"}\n\n";
        mStreamed.head(HEAD);
        send(mStreamed, event);
        assertEquals(event, mCaller.text());
        send(mStreamed, "data: {\"content\":\"");
        send(mStreamed, "data: [DONE]\\n");
        send(mStreamed, "\"}\n\n");
        assertEquals(event + "data: {\"content\":\"data: [DONE]\\n\"}\n\n", mCaller.text());
    }

    /** Guards against the start of an ordinary event that stays held back. */
    @Test
    void startOfAnEventIsPassedOnOnceItDiffersFromTheEndMark() {
        mStreamed.head(HEAD);
        send(mStreamed, EVENT + "data: ");
        assertEquals(EVENT, mCaller.text());
        send(mStreamed, "[DO");
        assertEquals(EVENT, mCaller.text());
        send(mStreamed, "TS]");
        assertEquals(EVENT + "data: [DOTS]", mCaller.text());
    }

    /** Guards against a whole answer that is given out for a turn that then fails to commit. */
    @Test
    void wholeAnswerWaitsForRelease() {
        mWhole.head(HEAD);
        send(mWhole, "{\"a\":");
        send(mWhole, "1}");
        mWhole.end();
        assertTrue(mWhole.isUncommitted());
        assertEquals("", mCaller.text());

        mWhole.release();
        assertEquals(1, mCaller.heads().size());
        assertEquals("{\"a\":1}", mCaller.text());
        assertEquals(1, mCaller.ends());
    }

    /** Guards against an answer that mixes a failed attempt with the one that replaced it. */
    @Test
    void secondHeadStartsTheAnswerAnew() {
        mWhole.head(HEAD);
        send(mWhole, "half of the fi");
        mWhole.head(HEAD);
        send(mWhole, "second");
        mWhole.release();
        assertEquals("second", mCaller.text());
        assertEquals("second", mWhole.answer().body().toStringUtf8());
    }

    /** Guards against a history record that lacks the held back part. */
    @Test
    void storedAnswerIsWhole() {
        mStreamed.head(HEAD);
        send(mStreamed, EVENT + END);
        assertEquals(new StoredAnswer(HEAD, bytes(EVENT + END)), mStreamed.answer());
    }

    /** Guards against an answer without bound in memory, and against calling it not run. */
    @Test
    void tooLargeAnswerEndsAsRun() {
        mStreamed.head(HEAD);
        send(mStreamed, "x".repeat(MAX_BYTES));
        ResultException failure = assertThrows(ResultException.class, () -> send(mStreamed, "x"));
        assertEquals(ResultCode.MEMORY_LIMIT_REACHED, failure.code());
        assertEquals(Execution.RUN, failure.execution());
    }

    private static void send(TurnAnswer answer, String text) {
        answer.body(bytes(text));
    }

    private static ByteString bytes(String text) {
        return ByteString.copyFromUtf8(text);
    }
}
