package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Call;

/** Tests the forwarding of a call to the holder of its shard. */
final class ForwarderTest {

    private final RecordingSink mSink = new RecordingSink();

    /** Guards against a truncated response or one that is not ended. */
    @Test
    void responseIsRelayed() {
        FakeConnection holder = forward(call -> call.respond("abc"));
        assertEquals("abc", mSink.bodyText());
        assertEquals(1, mSink.endCount());
        assertEquals(3, holder.calls().getFirst().consumedBytes());
    }

    /** Guards against "not run" for a call that may have been run before the connection closed. */
    @Test
    void connectionLossReportsTheKnownExecution() {
        assertEquals(
                Execution.NOT_RUN,
                assertForwardFails(call -> call.loseConnection(false)).execution());
        assertEquals(
                Execution.UNKNOWN,
                assertForwardFails(call -> call.loseConnection(true)).execution());
        assertEquals(
                Execution.RUN,
                assertForwardFails(
                                call -> {
                                    call.respondHead(200);
                                    call.loseConnection(true);
                                })
                        .execution());
        assertEquals(0, mSink.endCount());
    }

    /** Guards against a call that continues at the holder after the caller has cancelled it. */
    @Test
    void cancellationByCallerCancelsTheCall() {
        FakeConnection holder = new FakeConnection(call -> mSink.cancelCall());
        ResultException failure = assertThrows(ResultException.class, () -> forward(holder));
        assertEquals(ResultCode.CANCELLED, failure.code());
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertTrue(holder.calls().getFirst().isCancelled());
    }

    /**
     * Guards against a call that continues at the holder after its response could not be passed on.
     */
    @Test
    void failureOfTheSinkCancelsTheCall() {
        for (RuntimeException failure :
                List.of(
                        new ResultException(ResultCode.CANCELLED, "the caller left"),
                        new IllegalStateException("unexpected"))) {
            mSink.failBodyWith(failure);
            FakeConnection holder = new FakeConnection(call -> call.respond("a"));
            assertThrows(failure.getClass(), () -> forward(holder));
            assertTrue(holder.calls().getFirst().isCancelled());
        }
    }

    private ResultException assertForwardFails(Consumer<FakeConnection.ReceivedCall> script) {
        return assertThrows(ResultException.class, () -> forward(script));
    }

    private FakeConnection forward(Consumer<FakeConnection.ReceivedCall> script) {
        FakeConnection holder = new FakeConnection(script);
        forward(holder);
        return holder;
    }

    private void forward(FakeConnection holder) {
        new Forwarder().run(holder, Call.getDefaultInstance(), ByteString.EMPTY, 60_000, mSink);
    }
}
