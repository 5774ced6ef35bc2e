package org.oleandertrack.gateway.organisation;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.organisation.limit.AskerState;
import org.oleandertrack.core.organisation.limit.DenialReason;
import org.oleandertrack.core.organisation.limit.IssueResult;
import org.oleandertrack.core.organisation.limit.OwnShares;
import org.oleandertrack.core.organisation.limit.ProgramKeys;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.gateway.call.OrganisationLimiter;

/**
 * Admits requests with permits of the host that issues them for the organisation at all hosts. If
 * neither candidate responds, this host uses its own share of the rate. Thread-safe.
 */
public final class SharedOrganisationLimiter implements OrganisationLimiter {

    // A permit delays a caller's request, so the next candidate is asked soon.
    private static final long ASK_TIMEOUT_MILLIS = 150;
    // A wait uses up at most this part of the caller's time, so that it can still be served.
    private static final long REMAINING_DIVISOR = 2;

    private final OrganisationIssuers mIssuers;
    private final OrganisationPermitService mOwnService;
    private final AskerState mState;
    private final OwnShares mOwnShares;
    private final LongSupplier mNanoClock;
    private final Scheduler mScheduler;
    private final long mMaxWaitMillis;
    private final LimitReports mReports;

    /**
     * Creates a limiter.
     *
     * @param ownService issues the permits for which this host is a candidate
     * @param maxWaitMillis longest time that a request waits for a permit which accrues meanwhile,
     *     in milliseconds
     */
    public SharedOrganisationLimiter(
            OrganisationIssuers issuers,
            OrganisationPermitService ownService,
            AskerState state,
            OwnShares ownShares,
            LongSupplier nanoClock,
            Scheduler scheduler,
            long maxWaitMillis,
            LimitReports reports) {
        mIssuers = issuers;
        mOwnService = ownService;
        mState = state;
        mOwnShares = ownShares;
        mNanoClock = nanoClock;
        mScheduler = scheduler;
        mMaxWaitMillis = maxWaitMillis;
        mReports = reports;
    }

    @Override
    public CompletableFuture<Admission> admit(Request request) {
        if (request.organisation().limit().isEmpty()) {
            return CompletableFuture.completedFuture(new Admission.Admitted(""));
        }
        String organisation = request.organisation().name();
        OptionalLong program = ProgramKeys.keyOf(organisation, request.programId());
        long nowNanos = mNanoClock.getAsLong();
        return mState.denyLocally(organisation, program, nowNanos)
                .map(
                        denied ->
                                CompletableFuture.completedFuture(
                                        new PermitAnswer(
                                                denied,
                                                mIssuers.ownName(),
                                                0,
                                                request.configVersion())))
                .orElseGet(() -> askAndWait(request, program, waitEndNanos(request, nowNanos)))
                .thenApply(answer -> toAdmission(request, program, answer));
    }

    @Override
    public void giveBack(Request request, Admission.Admitted permit) {
        if (!permit.issuer().isEmpty()) {
            mState.returnPermit(request.organisation().name(), permit.issuer());
        }
    }

    /** Forgets idle organisations. To be called regularly. */
    public void runMaintenance() {
        long nowNanos = mNanoClock.getAsLong();
        mState.dropIdle(nowNanos);
        mOwnShares.dropIdle(nowNanos);
    }

    // Helpers

    private long waitEndNanos(Request request, long nowNanos) {
        long waitMillis = Math.min(mMaxWaitMillis, request.remainingMillis() / REMAINING_DIVISOR);
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    }

    /**
     * Asks for a permit, and asks again after the stated time if that is soon. The calls of a
     * program's tools come several at a time, and a caller comes back once only after a refusal.
     */
    private CompletableFuture<PermitAnswer> askAndWait(
            Request request, OptionalLong program, long endNanos) {
        return ask(request, program, mIssuers.issuersFor(request.organisation().name()))
                .thenCompose(
                        answer -> {
                            if (!(answer.result() instanceof IssueResult.Denied denied)
                                    || denied.reason() != DenialReason.RATE) {
                                return CompletableFuture.completedFuture(answer);
                            }
                            long waitNanos = TimeUnit.MILLISECONDS.toNanos(denied.retryMillis());
                            if (mNanoClock.getAsLong() + waitNanos - endNanos > 0) {
                                return CompletableFuture.completedFuture(answer);
                            }
                            CompletableFuture<PermitAnswer> later = new CompletableFuture<>();
                            mScheduler.schedule(waitNanos, () -> later.complete(answer));
                            return later.thenCompose(
                                    ignored -> askAndWait(request, program, endNanos));
                        });
    }

    private CompletableFuture<PermitAnswer> ask(
            Request request, OptionalLong program, List<String> candidates) {
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(takeFromOwnShare(request));
        }
        String issuer = candidates.getFirst();
        List<String> others = candidates.subList(1, candidates.size());
        long nowNanos = mNanoClock.getAsLong();
        boolean own = issuer.equals(mIssuers.ownName());
        if (!own && !mIssuers.mayAsk(issuer, nowNanos)) {
            return ask(request, program, others);
        }
        PermitCall call =
                PermitCall.of(
                        mState.requestFor(request.organisation().name(), program, issuer, nowNanos),
                        request.configVersion());
        CompletableFuture<PermitAnswer> answer =
                own ? mOwnService.take(call) : mIssuers.ask(issuer, call, ASK_TIMEOUT_MILLIS);
        return answer.exceptionallyCompose(
                failure -> {
                    mReports.reportIssuerFailed(request, issuer, failure);
                    return ask(request, program, others);
                });
    }

    private PermitAnswer takeFromOwnShare(Request request) {
        IssueResult result =
                mOwnShares.issue(
                        request.organisation().name(),
                        limitOf(request),
                        mIssuers.hostCount(),
                        mNanoClock.getAsLong());
        return new PermitAnswer(result, AskerState.OWN_SHARE, 0, request.configVersion());
    }

    private Admission toAdmission(Request request, OptionalLong program, PermitAnswer answer) {
        String organisation = request.organisation().name();
        long nowNanos = mNanoClock.getAsLong();
        mReports.reportAnswer(request, answer);
        return switch (answer.result()) {
            case IssueResult.Granted granted -> {
                mState.recordGranted(organisation, program, answer.issuer(), nowNanos);
                yield new Admission.Admitted(answer.issuer());
            }
            case IssueResult.Denied denied -> {
                if (denied.reason() != DenialReason.RECENT_DENIAL) {
                    mState.recordDenied(organisation, answer.issuer(), denied, nowNanos);
                }
                yield new Admission.Refused(
                        codeOf(denied.reason()),
                        denied.retryMillis(),
                        "over the limit of "
                                + limitOf(request).requestsPerSecond()
                                + " requests per second ("
                                + denied.reason()
                                + ", issuer "
                                + answer.issuer()
                                + ")");
            }
        };
    }

    private static ResultCode codeOf(DenialReason reason) {
        return switch (reason) {
            case PROGRAM_GATE -> ResultCode.PROGRAM_NOT_ADMITTED;
            case RATE, RECENT_DENIAL, OWN_SHARE -> ResultCode.ORGANISATION_RATE_EXCEEDED;
        };
    }

    private static RequestLimit limitOf(Request request) {
        return request.organisation().limit().orElseThrow();
    }
}
