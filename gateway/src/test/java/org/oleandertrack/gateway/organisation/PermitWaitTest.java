package org.oleandertrack.gateway.organisation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.organisation.limit.AskerState;
import org.oleandertrack.core.organisation.limit.IssuerReach;
import org.oleandertrack.core.organisation.limit.OwnShares;
import org.oleandertrack.core.organisation.limit.PermitIssuerState;
import org.oleandertrack.gateway.call.OrganisationLimiter;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guards against refusals of requests for which a permit accrues within a fraction of a second. */
final class PermitWaitTest {

    private static final RequestLimit LIMIT = new RequestLimit(5, 5);
    private static final Organisation BIRCH =
            new Organisation("birch", Set.of(), OptionalInt.empty(), Optional.of(LIMIT));

    private record Task(long dueNanos, Runnable action) {}

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos(), b.dueNanos()));
    private long mNowNanos = TimeUnit.MINUTES.toNanos(1);
    private final Scheduler mScheduler =
            (delayNanos, task) -> {
                mTasks.add(new Task(mNowNanos + Math.max(0, delayNanos), task));
                return () -> {};
            };
    private final Random mRandom = new Random(1);
    private final OrganisationPermitService mService =
            new OrganisationPermitService(
                    new OnlyHost(),
                    new PermitIssuerState(mRandom, 0, 0),
                    () -> mNowNanos,
                    () -> TimeUnit.NANOSECONDS.toMillis(mNowNanos));
    private final SharedOrganisationLimiter mLimiter =
            new SharedOrganisationLimiter(
                    new OnlyHost(),
                    mService,
                    new AskerState(mRandom),
                    new OwnShares(mRandom),
                    () -> mNowNanos,
                    mScheduler,
                    600,
                    new LimitReports(
                            new EventLog(line -> {}, Clock.systemUTC(), 0), new MetricsRegistry()));

    PermitWaitTest() {
        mService.configure(List.of(BIRCH), 1);
    }

    private CompletableFuture<OrganisationLimiter.Admission> send(long remainingMillis) {
        return mLimiter.admit(
                new OrganisationLimiter.Request(BIRCH, 1, Optional.of("program"), remainingMillis));
    }

    private void runFor(long millis) {
        long endNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!mTasks.isEmpty() && mTasks.peek().dueNanos() <= endNanos) {
            Task task = mTasks.poll();
            mNowNanos = Math.max(mNowNanos, task.dueNanos());
            task.action().run();
        }
        mNowNanos = endNanos;
    }

    private void useUpTheBucket() {
        while (send(0).join() instanceof OrganisationLimiter.Admission.Admitted) {
            assertTrue(mTasks.isEmpty());
        }
    }

    @Test
    void aRequestWaitsForAPermitThatAccruesSoon() {
        useUpTheBucket();
        var admission = send(5_000);
        assertFalse(admission.isDone());
        runFor(600);
        assertInstanceOf(OrganisationLimiter.Admission.Admitted.class, admission.join());
    }

    @Test
    void aRequestThatCannotWaitIsRefusedAtOnce() {
        useUpTheBucket();
        assertInstanceOf(OrganisationLimiter.Admission.Refused.class, send(100).join());
    }

    @Test
    void requestsBeyondTheLimitAreRefusedWithinTheWait() {
        useUpTheBucket();
        List<CompletableFuture<OrganisationLimiter.Admission>> admissions =
                Stream.generate(() -> send(5_000)).limit(20).toList();
        runFor(700);
        long admitted =
                admissions.stream()
                        .filter(
                                admission ->
                                        admission.join()
                                                instanceof OrganisationLimiter.Admission.Admitted)
                        .count();
        assertTrue(admitted >= 2 && admitted <= 4, admitted + " admitted");
    }

    /** The only host, which issues all permits itself. */
    private static final class OnlyHost implements OrganisationIssuers {
        @Override
        public String ownName() {
            return "host-1";
        }

        @Override
        public int hostCount() {
            return 1;
        }

        @Override
        public long hostsVersion() {
            return 1;
        }

        @Override
        public List<String> issuersFor(String organisation) {
            return List.of(ownName());
        }

        @Override
        public List<String> issuersWithoutOwn(String organisation) {
            return List.of();
        }

        @Override
        public boolean mayAsk(String host, long nowNanos) {
            return true;
        }

        @Override
        public List<String> responsiveHostsExcept(String host, int limit) {
            return List.of();
        }

        @Override
        public CompletableFuture<PermitAnswer> ask(
                String host, PermitCall call, long timeoutMillis) {
            throw new IllegalStateException("there is no other host");
        }

        @Override
        public CompletableFuture<Boolean> probe(String host) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<IssuerReach> measureReach() {
            return CompletableFuture.completedFuture(IssuerReach.UNKNOWN);
        }
    }
}
