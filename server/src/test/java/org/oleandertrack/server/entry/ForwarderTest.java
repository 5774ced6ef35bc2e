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

/** A call that the holder of its shard runs, as the entry host that forwards it sees it. */
final class ForwarderTest {

    private final RecordingSink mSink = new RecordingSink();

    /** Guards against an answer that is cut or whose end is lost. */
    @Test
    void answerIsRelayed() {
        FakeConnection holder = forward(call -> call.succeed("abc"));
        assertEquals("abc", mSink.text());
        assertEquals(1, mSink.ends());
        assertEquals(3, holder.calls().getFirst().consumedBytes());
    }

    /** Guards against "not run" for a call that the lost holder may have run. */
    @Test
    void lossTellsWhatIsKnown() {
        assertEquals(Execution.NOT_RUN, failure(call -> call.lose(false)).execution());
        assertEquals(Execution.UNKNOWN, failure(call -> call.lose(true)).execution());
        assertEquals(
                Execution.RUN,
                failure(
                                call -> {
                                    call.head(200);
                                    call.lose(true);
                                })
                        .execution());
        assertEquals(0, mSink.ends());
    }

    /** Guards against a call that runs on at the holder after the caller has left. */
    @Test
    void callerLeavingCancelsTheCall() {
        FakeConnection holder = new FakeConnection(call -> mSink.leave());
        ResultException failure = assertThrows(ResultException.class, () -> forward(holder));
        assertEquals(ResultCode.CANCELLED, failure.code());
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertTrue(holder.calls().getFirst().isCancelled());
    }

    /** Guards against a call that runs on at the holder after its answer could not be passed on. */
    @Test
    void failureOfTheCallerCancelsTheCall() {
        for (RuntimeException failure :
                List.of(
                        new ResultException(ResultCode.CANCELLED, "the caller left"),
                        new IllegalStateException("unexpected"))) {
            mSink.failBodyWith(failure);
            FakeConnection holder = new FakeConnection(call -> call.succeed("a"));
            assertThrows(failure.getClass(), () -> forward(holder));
            assertTrue(holder.calls().getFirst().isCancelled());
        }
    }

    private ResultException failure(Consumer<FakeConnection.Received> script) {
        return assertThrows(ResultException.class, () -> forward(script));
    }

    private FakeConnection forward(Consumer<FakeConnection.Received> script) {
        FakeConnection holder = new FakeConnection(script);
        forward(holder);
        return holder;
    }

    private void forward(FakeConnection holder) {
        new Forwarder().run(holder, Call.getDefaultInstance(), ByteString.EMPTY, 60_000, mSink);
    }
}
