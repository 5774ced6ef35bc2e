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

/** Tests which part of a turn's response the caller receives before the turn is durable. */
final class TurnResponseTest {

    private static final int MAX_BYTES = 1_000;
    private static final ResponseHead HEAD = ResponseHead.newBuilder().setStatus(200).build();
    private static final String EVENT = "data: {\"n\":1}\n\n";
    private static final String TERMINATOR = "data: [DONE]\n\n";

    private final RecordingSink mCallerSink = new RecordingSink();
    private final TurnResponse mStreamed = new TurnResponse(mCallerSink, true, MAX_BYTES);
    private final TurnResponse mUnstreamed = new TurnResponse(mCallerSink, false, MAX_BYTES);

    /** Guards against stream events that wait for the commit of the turn. */
    @Test
    void streamedEventsAreForwardedAtOnce() {
        mStreamed.writeHead(HEAD);
        assertEquals(1, mCallerSink.heads().size());
        send(mStreamed, EVENT);
        assertEquals(EVENT, mCallerSink.bodyText());
        send(mStreamed, EVENT);
        assertEquals(EVENT + EVENT, mCallerSink.bodyText());
    }

    /** Guards against a caller that receives the end of a turn that is not durable yet. */
    @Test
    void terminatorWaitsForRelease() {
        mStreamed.writeHead(HEAD);
        send(mStreamed, EVENT + TERMINATOR);
        mStreamed.end();
        assertEquals(EVENT, mCallerSink.bodyText());
        assertEquals(0, mCallerSink.endCount());

        mStreamed.release();
        assertEquals(EVENT + TERMINATOR, mCallerSink.bodyText());
        assertEquals(1, mCallerSink.endCount());
    }

    /** Guards against a terminator that is sent early because it arrives in two parts. */
    @Test
    void terminatorSplitAnywhereIsWithheld() {
        String body = EVENT + TERMINATOR;
        for (int cut = 0; cut <= body.length(); cut++) {
            RecordingSink caller = new RecordingSink();
            TurnResponse response = new TurnResponse(caller, true, MAX_BYTES);
            response.writeHead(HEAD);
            send(response, body.substring(0, cut));
            send(response, body.substring(cut));
            assertEquals(EVENT, caller.bodyText(), "cut at " + cut);
            response.release();
            assertEquals(body, caller.bodyText(), "cut at " + cut);
        }
    }

    /** Guards against a terminator that is sent early because its bytes arrive one by one. */
    @Test
    void terminatorInSingleBytesIsWithheld() {
        mStreamed.writeHead(HEAD);
        for (char c : (EVENT + TERMINATOR).toCharArray()) {
            send(mStreamed, String.valueOf(c));
        }
        assertEquals(EVENT, mCallerSink.bodyText());
    }

    /** Guards against a terminator that is sent early because lines end in CR LF. */
    @Test
    void terminatorAfterCarriageReturnIsWithheld() {
        mStreamed.writeHead(HEAD);
        send(mStreamed, "data: {}\r\n\r\ndata: [DONE]\r\n\r\n");
        assertEquals("data: {}\r\n\r\n", mCallerSink.bodyText());
    }

    /** Guards against generated text that is withheld because it looks like the terminator. */
    @Test
    void textLikeTheTerminatorInsideAnEventIsForwarded() {
        String event = "data: {\"content\":\"data: [DONE]\"}\n\n";
        mStreamed.writeHead(HEAD);
        send(mStreamed, event);
        assertEquals(event, mCallerSink.bodyText());
        send(mStreamed, "data: {\"content\":\"");
        send(mStreamed, "data: [DONE]\\n");
        send(mStreamed, "\"}\n\n");
        assertEquals(event + "data: {\"content\":\"data: [DONE]\\n\"}\n\n", mCallerSink.bodyText());
    }

    /** Guards against an event that stays withheld because it begins like the terminator. */
    @Test
    void startOfAnEventIsForwardedOnceItDiffersFromTheTerminator() {
        mStreamed.writeHead(HEAD);
        send(mStreamed, EVENT + "data: ");
        assertEquals(EVENT, mCallerSink.bodyText());
        send(mStreamed, "[DO");
        assertEquals(EVENT, mCallerSink.bodyText());
        send(mStreamed, "TS]");
        assertEquals(EVENT + "data: [DOTS]", mCallerSink.bodyText());
    }

    /** Guards against a response that is sent although the commit of the turn can still fail. */
    @Test
    void unstreamedResponseWaitsForRelease() {
        mUnstreamed.writeHead(HEAD);
        send(mUnstreamed, "{\"a\":");
        send(mUnstreamed, "1}");
        mUnstreamed.end();
        assertTrue(mUnstreamed.isUnsent());
        assertEquals("", mCallerSink.bodyText());

        mUnstreamed.release();
        assertEquals(1, mCallerSink.heads().size());
        assertEquals("{\"a\":1}", mCallerSink.bodyText());
        assertEquals(1, mCallerSink.endCount());
    }

    /** Guards against a mix of the responses of a failed attempt and of its retry. */
    @Test
    void secondHeadRestartsTheResponse() {
        mUnstreamed.writeHead(HEAD);
        send(mUnstreamed, "half of the fi");
        mUnstreamed.writeHead(HEAD);
        send(mUnstreamed, "second");
        mUnstreamed.release();
        assertEquals("second", mCallerSink.bodyText());
        assertEquals("second", mUnstreamed.toStoredResponse().body().toStringUtf8());
    }

    /** Guards against a history record that lacks the withheld part of the response. */
    @Test
    void storedResponseIsComplete() {
        mStreamed.writeHead(HEAD);
        send(mStreamed, EVENT + TERMINATOR);
        assertEquals(
                new StoredResponse(HEAD, bytes(EVENT + TERMINATOR)), mStreamed.toStoredResponse());
    }

    /** Guards against a response of unbounded size in memory that is reported as not run. */
    @Test
    void tooLargeResponseFailsAsRun() {
        mStreamed.writeHead(HEAD);
        send(mStreamed, "x".repeat(MAX_BYTES));
        ResultException failure = assertThrows(ResultException.class, () -> send(mStreamed, "x"));
        assertEquals(ResultCode.MEMORY_LIMIT_REACHED, failure.code());
        assertEquals(Execution.RUN, failure.execution());
    }

    private static void send(TurnResponse response, String text) {
        response.writeBody(bytes(text));
    }

    private static ByteString bytes(String text) {
        return ByteString.copyFromUtf8(text);
    }
}
