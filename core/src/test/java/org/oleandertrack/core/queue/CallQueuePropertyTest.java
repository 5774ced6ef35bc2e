package org.oleandertrack.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Properties of {@link CallQueue} under random traffic. jqwik prints the seed of each run. */
final class CallQueuePropertyTest {

    private static final long SECOND = 1_000_000_000L;
    private static final ServiceLevels LEVELS = new ServiceLevels(SECOND, 5);

    /** Guards against starvation of a long program by a continuous load of short ones. */
    @Property(seed = "20261204", tries = 50)
    void everyCallStartsDespiteFlood(
            @ForAll @IntRange(min = 0, max = 4) int level,
            @ForAll @IntRange(max = 2) int priority) {
        QueueConfig config = new QueueConfig(100, 100, 1, 1, 4, LEVELS, SECOND, 2 * SECOND, SECOND);
        CallQueue queue = new CallQueue(config, OrganisationWeights.EQUAL);
        queue.offer(call("waiting", "a", -priority, LEVELS.lowerBoundNanos(level)), 0);
        long now = 0;
        int polls = 0;
        // Two polls per round, one for each organisation: a round for each level and priority step
        // that aging has to make up, plus two rounds for calls of the same rank.
        int expectedPolls = (level + priority * LEVELS.count() + 2) * 2;
        while (true) {
            queue.offer(call("a" + polls, "a", 0, 0), now);
            queue.offer(call("b" + polls, "b", 0, 0), now);
            String started = queue.poll(now).orElseThrow().id();
            if (started.equals("waiting")) {
                break;
            }
            polls++;
            assertTrue(polls <= 2 * expectedPolls, "not started after " + polls + " other calls");
            now += SECOND;
            queue.finish(started, SECOND, now);
        }
    }

    /**
     * Guards against a long call that is suspended again and again: under a continuous load of
     * short calls it has to get its 20 s of service within a bounded time.
     */
    @Property(seed = "20261204", tries = 20)
    void suspendedCallEndsDespiteFlood(@ForAll @IntRange(min = 1, max = 8) int slots) {
        QueueConfig config =
                new QueueConfig(
                        500, 500, slots, slots, 2, LEVELS, 10 * SECOND, 5 * SECOND, SECOND / 4);
        CallQueue queue = new CallQueue(config, OrganisationWeights.EQUAL);
        queue.offer(new QueuedCall("long", "a", "long", 0, 0, true, Long.MAX_VALUE), 0);
        Map<String, Long> startedAtNanos = new HashMap<>();
        long attained = 0;
        for (int step = 0; attained < 20 * SECOND; step++) {
            assertTrue(step < 4_000, "only " + attained / 1e9 + " s of service in 1,000 s");
            long now = step * SECOND / 4;
            for (int i = queue.waiting(); i < 2 * slots + 2; i++) {
                queue.offer(call(step + "-" + i, "a", 0, 0), now);
            }
            attained += startedAtNanos.containsKey("long") ? SECOND / 4 : 0;
            queue.suspend(now).ifPresent(victim -> startedAtNanos.remove(victim.id()));
            for (String id : List.copyOf(startedAtNanos.keySet())) {
                if (!id.equals("long") && now - startedAtNanos.get(id) >= SECOND / 2) {
                    startedAtNanos.remove(id);
                    queue.finish(id, SECOND / 2, now);
                }
            }
            Optional<QueuedCall> next = queue.poll(now);
            while (next.isPresent()) {
                startedAtNanos.put(next.get().id(), now);
                next = queue.poll(now);
            }
        }
    }

    /**
     * Guards against long calls that occupy every slot, and against calls that are lost, started
     * twice or returned both as started and as expired.
     */
    @Property(seed = "20261204", tries = 100)
    void longCallsStayBoundedAndEveryCallEndsOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        QueueConfig config = new QueueConfig(50, 30, 6, 2, 2, LEVELS, SECOND, SECOND, SECOND);
        CallQueue queue = new CallQueue(config, OrganisationWeights.EQUAL);
        Set<String> open = new HashSet<>();
        Set<String> suspended = new HashSet<>();
        List<QueuedCall> running = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(SECOND);
            QueuedCall call = randomCall(random, step, now);
            if (queue.offer(call, now) instanceof OfferResult.Accepted) {
                open.add(call.id());
            }
            for (QueuedCall expired : queue.takeExpired(now)) {
                assertTrue(open.remove(expired.id()), "expired without waiting: " + expired);
            }
            Optional<QueuedCall> victim = queue.suspend(now);
            if (victim.isPresent()) {
                assertTrue(running.remove(victim.get()));
                suspended.add(victim.get().id());
            }
            boolean room = queue.runningLong(now) < config.maxRunningLong();
            Optional<QueuedCall> started = queue.poll(now);
            if (started.isPresent()) {
                String id = started.get().id();
                assertTrue(open.remove(id) || suspended.remove(id), "started twice: " + id);
                int level = LEVELS.levelOf(started.get().attainedNanos());
                assertTrue(room || level < config.longLevel(), "long call above the bound");
                running.add(started.get());
            }
            if (!running.isEmpty() && random.nextInt(3) == 0) {
                QueuedCall ended = running.remove(random.nextInt(running.size()));
                queue.finish(ended.id(), random.nextLong(SECOND), now);
            }
            assertEquals(running.size(), queue.running());
            assertEquals(open.size() + suspended.size(), queue.waiting());
            assertTrue(queue.running() <= config.maxRunning());
            assertTrue(queue.waiting() <= config.maxEntries() + config.maxRunning());
        }
    }

    /**
     * Guards against an organisation that gets more than its weighted share by sending more calls.
     */
    @Property(seed = "20261204", tries = 30)
    void organisationsShareByWeight(
            @ForAll @IntRange(min = 1, max = 5) int weightA,
            @ForAll @IntRange(min = 1, max = 5) int weightB,
            @ForAll long seed) {
        Map<String, Integer> weights = Map.of("a", weightA, "b", weightB);
        QueueConfig config =
                new QueueConfig(1_000, 1_000, 4, 4, 2, LEVELS, 100 * SECOND, SECOND, SECOND);
        CallQueue queue = new CallQueue(config, weights::get);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Long> attained = new HashMap<>();
        Map<String, Integer> waiting = new HashMap<>();
        int calls = 0;
        List<QueuedCall> running = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            long now = step * SECOND;
            // Organisation a always has four times as many calls waiting as b.
            while (waiting.merge("a", 1, Integer::sum) <= 40) {
                queue.offer(call("a" + calls++, "a", 0, 0), now);
            }
            while (waiting.merge("b", 1, Integer::sum) <= 10) {
                queue.offer(call("b" + calls++, "b", 0, 0), now);
            }
            waiting.replaceAll((organisation, count) -> count - 1);
            Optional<QueuedCall> started = queue.poll(now);
            started.ifPresent(running::add);
            started.ifPresent(call -> waiting.merge(call.organisation(), -1, Integer::sum));
            if (running.size() == config.maxRunning()) {
                QueuedCall ended = running.remove(random.nextInt(running.size()));
                long service = SECOND + random.nextLong(9 * SECOND);
                queue.finish(ended.id(), service, now);
                attained.merge(ended.organisation(), service, Long::sum);
            }
        }
        double share = (double) attained.get("a") / (attained.get("a") + attained.get("b"));
        double expectedShare = (double) weightA / (weightA + weightB);
        assertEquals(expectedShare, share, 0.05);
    }

    private static QueuedCall randomCall(SplittableRandom random, int step, long now) {
        long latest = random.nextInt(4) == 0 ? now + random.nextLong(20 * SECOND) : Long.MAX_VALUE;
        long attained = random.nextInt(3) == 0 ? random.nextLong(100 * SECOND) : 0;
        return new QueuedCall(
                "c" + step,
                "o" + random.nextInt(3),
                "p" + step,
                random.nextInt(3) - 1,
                attained,
                random.nextBoolean(),
                latest);
    }

    private static QueuedCall call(String id, String organisation, int priority, long attained) {
        return new QueuedCall(id, organisation, id, priority, attained, false, Long.MAX_VALUE);
    }
}
