package org.oleandertrack.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;

/**
 * Guards against a wrong order, an unbounded queue and calls that are reported with a wrong
 * execution.
 */
final class CallQueueTest {

    private static final long SECOND = 1_000_000_000L;
    private static final QueueConfig ONE_SLOT =
            new QueueConfig(
                    3, 2, 1, 1, 2, new ServiceLevels(SECOND, 4), 10 * SECOND, SECOND, SECOND / 4);

    private final CallQueue mQueue = new CallQueue(ONE_SLOT, OrganisationWeights.EQUAL);

    @Test
    void refusesCallsBeyondTheBoundsWithRetryTime() {
        offer("a1", "a", 0, 0);
        offer("a2", "a", 0, 0);
        assertRejected(ResultCode.ORGANISATION_LIMIT_REACHED, offer("a3", "a", 0, 0));
        offer("b1", "b", 0, 0);
        assertRejected(ResultCode.QUEUE_FULL, offer("b2", "b", 0, 0));
    }

    @Test
    void refusesIdThatWaitsOrRuns() {
        offer("a1", "a", 0, 0);
        assertThrows(IllegalArgumentException.class, () -> offer("a1", "a", 0, 0));
        mQueue.poll(0);
        assertThrows(IllegalArgumentException.class, () -> offer("a1", "a", 0, 0));
    }

    @Test
    void startsLeastAttainedServiceFirst() {
        offer("much", "a", 0, 5 * SECOND);
        offer("little", "a", 0, 0);
        assertEquals("little", poll(0));
    }

    @Test
    void startsHigherPriorityBeforeLessAttainedService() {
        offer("low", "a", 0, 0);
        offer("high", "a", 1, 100 * SECOND);
        assertEquals("high", poll(0));
    }

    @Test
    void agingLiftsLowPriorityAboveLaterCalls() {
        offer("low", "a", 0, 0);
        long later = 41 * SECOND;
        mQueue.offer(call("high", "a", 1, 0, false, Long.MAX_VALUE), later);
        assertEquals("low", poll(later));
    }

    @Test
    void returnsExpiredCallsInsteadOfStartingThem() {
        mQueue.offer(call("late", "a", 0, 0, false, SECOND), 0);
        offer("open", "a", 0, 0);
        long later = SECOND + 1;
        assertEquals("open", poll(later));
        assertEquals(List.of("late"), ids(mQueue.takeExpired(later)));
        assertEquals(List.of(), ids(mQueue.takeExpired(later)));
        assertEquals(0, mQueue.waiting());
    }

    @Test
    void refusesCallThatIsAlreadyLate() {
        OfferResult result = mQueue.offer(call("late", "a", 0, 0, false, 1), 2);
        assertEquals(new OfferResult.Rejected(ResultCode.DEADLINE_EXCEEDED, 0), result);
    }

    /** Guards against reporting a suspended call, which has already started, as not run. */
    @Test
    void suspendedCallNeverExpiresAsNotRun() {
        mQueue.offer(call("long", "a", 0, 0, true, SECOND), 0);
        poll(0);
        long later = 2 * SECOND;
        mQueue.offer(call("short", "b", 0, 0, true, Long.MAX_VALUE), later);
        assertEquals(
                Optional.empty(),
                mQueue.suspend(later),
                "suspended before the other call has waited for a time slice");
        later += SECOND / 4;
        assertEquals(Optional.of("long"), mQueue.suspend(later).map(QueuedCall::id));
        assertEquals(List.of(), mQueue.takeExpired(later));
        assertEquals("short", poll(later));
        mQueue.finish("short", SECOND, 3 * SECOND);
        assertEquals("long", poll(3 * SECOND));
    }

    @Test
    void doesNotSuspendWhatCannotBeResumed() {
        mQueue.offer(call("long", "a", 0, 0, false, Long.MAX_VALUE), 0);
        poll(0);
        offer("short", "b", 0, 0);
        assertEquals(Optional.empty(), mQueue.suspend(20 * SECOND));
    }

    @Test
    void removesWaitingCallsOnly() {
        offer("a1", "a", 0, 0);
        offer("a2", "a", 0, 0);
        poll(0);
        assertEquals(Optional.empty(), mQueue.remove("a1"));
        assertTrue(mQueue.remove("a2").isPresent());
        assertEquals(0, mQueue.waiting());
        assertThrows(IllegalArgumentException.class, () -> mQueue.finish("a2", 1, 1));
    }

    @Test
    void attainedServiceIsBoundedAndForgetsIdlePrograms() {
        AttainedService attained = new AttainedService(2);
        attained.add("p", 5, 0);
        attained.add("q", 6, 10);
        attained.add("p", 5, 20);
        attained.add("r", 7, 30);
        assertEquals(0, attained.attainedNanos("q"));
        assertEquals(10, attained.attainedNanos("p"));
        attained.dropIdle(5, 30);
        assertEquals(0, attained.attainedNanos("p"));
        assertEquals(1, attained.size());
    }

    private OfferResult offer(String id, String organisation, int priority, long attained) {
        return mQueue.offer(call(id, organisation, priority, attained, false, Long.MAX_VALUE), 0);
    }

    private String poll(long nowNanos) {
        return mQueue.poll(nowNanos).orElseThrow().id();
    }

    private static void assertRejected(ResultCode code, OfferResult result) {
        OfferResult.Rejected rejected = assertInstanceOf(OfferResult.Rejected.class, result);
        assertEquals(code, rejected.code());
        assertTrue(rejected.retryAfterMillis() > 0);
    }

    private static List<String> ids(List<QueuedCall> calls) {
        return calls.stream().map(QueuedCall::id).toList();
    }

    private static QueuedCall call(
            String id,
            String organisation,
            int priority,
            long attained,
            boolean resumable,
            long latest) {
        return new QueuedCall(id, organisation, id, priority, attained, resumable, latest);
    }
}
