package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oleandertrack.core.organisation.CallerIdentity;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.IdScope;
import org.oleandertrack.core.organisation.KeyAdmission;
import org.oleandertrack.core.organisation.KeyDigest;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;

/**
 * Decides who the caller of a request is and whether its call may begin. Has no effect where the
 * configuration has no organisations. Thread-safe.
 */
public final class CallerAdmission {

    private final HeaderCodec mHeaderCodec;
    private final KeyAdmission mKeyAdmission;
    private final ConfigFreshness mFreshness;
    private final OrganisationLimiter mLimiter;

    /** Creates the admission. */
    public CallerAdmission(
            HeaderCodec headerCodec,
            KeyAdmission keyAdmission,
            ConfigFreshness freshness,
            OrganisationLimiter limiter) {
        mHeaderCodec = headerCodec;
        mKeyAdmission = keyAdmission;
        mFreshness = freshness;
        mLimiter = limiter;
    }

    /**
     * A request whose route was found.
     *
     * @param ageMillis age of the knowledge of the configuration, measured before the configuration
     *     was looked up; empty if there is none or if it does not matter
     */
    record Arrival(
            InboundRequest request,
            ResponseWriter writer,
            CallMetadata metadata,
            TrafficConfig config,
            Route route,
            OptionalLong ageMillis) {

        long remainingMillis() {
            long elapsedNanos = System.nanoTime() - request.firstByteNanos();
            return metadata.limitMillis(route) - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        }
    }

    /** Result of an admission. */
    sealed interface Result {

        /**
         * The call may begin.
         *
         * @param metadata values of the request with the scope of the caller
         * @param route the route as it applies to the caller
         */
        record Admitted(AdmittedCaller caller, CallMetadata metadata, Route route)
                implements Result {}

        /** The request is refused; the organisation is empty if it is not known. */
        record Refused(ResultException failure, Optional<Organisation> organisation)
                implements Result {}
    }

    /**
     * Returns the age of the knowledge of the configuration, in milliseconds; empty if there is
     * none or if it does not matter. To be called before the configuration is looked up, because
     * the age holds for configurations that were in force at that moment or later.
     */
    OptionalLong ageMillis() {
        return mKeyAdmission.isBounded() ? mFreshness.ageMillis() : OptionalLong.empty();
    }

    /**
     * Decides about a request.
     *
     * @param onResult called once on the event loop of the request, unless its connection is closed
     *     before; called before this method returns if nothing has to be awaited
     */
    void admit(Arrival arrival, Consumer<Result> onResult) {
        if (!arrival.config().organisations().isKeyRequired()) {
            onResult.accept(
                    admitted(
                            arrival,
                            AdmittedCaller.withoutConditions(new CallerIdentity.Unchecked())));
            return;
        }
        HttpHeaders headers = arrival.request().head().headers();
        Optional<KeyDigest> key = mHeaderCodec.readAccessKey(headers);
        KeyAdmission.Decision decision =
                mKeyAdmission.decide(
                        arrival.config().organisations(),
                        arrival.route().anonymous(),
                        key,
                        arrival.ageMillis());
        switch (decision) {
            case KeyAdmission.Decision.Accepted accepted ->
                    admitIdentified(arrival, accepted.identity(), onResult);
            case KeyAdmission.Decision.KeyRequired required ->
                    onResult.accept(
                            new Result.Refused(
                                    CallFailures.keyRequired(
                                            required.reason(), arrival.config().version()),
                                    Optional.empty()));
            case KeyAdmission.Decision.NotCurrent notCurrent ->
                    onResult.accept(
                            new Result.Refused(
                                    notCurrent(arrival.ageMillis(), arrival.remainingMillis()),
                                    key.flatMap(arrival.config().organisations()::authenticate)));
        }
    }

    private void admitIdentified(
            Arrival arrival, CallerIdentity identity, Consumer<Result> onResult) {
        if (!(identity instanceof CallerIdentity.Member member)) {
            onResult.accept(admitted(arrival, AdmittedCaller.withoutConditions(identity)));
            return;
        }
        OrganisationLimiter.Request request =
                new OrganisationLimiter.Request(
                        member.organisation(),
                        arrival.config().version(),
                        arrival.metadata().program().map(ProgramMetadata::programId),
                        arrival.remainingMillis());
        new PermitWait(
                        mLimiter,
                        request,
                        arrival.writer(),
                        result -> onResult.accept(asResult(arrival, member, request, result)))
                .start();
    }

    private Result asResult(
            Arrival arrival,
            CallerIdentity.Member member,
            OrganisationLimiter.Request request,
            PermitWait.Result result) {
        Optional<Organisation> organisation = Optional.of(member.organisation());
        return switch (result) {
            case PermitWait.Result.Permitted permitted ->
                    admitted(
                            arrival,
                            new AdmittedCaller(
                                    member,
                                    arrival.route().anonymous()
                                            ? Optional::empty
                                            : () -> refusalBeforeSend(arrival),
                                    () -> mLimiter.giveBack(request, permitted.permit())));
            case PermitWait.Result.Refused refused ->
                    new Result.Refused(
                            CallFailures.organisationRefused(
                                    refused.refusal(), arrival.remainingMillis()),
                            organisation);
            case PermitWait.Result.Expired expired ->
                    new Result.Refused(CallFailures.overloaded(), organisation);
            case PermitWait.Result.Stopping stopping ->
                    new Result.Refused(CallFailures.shuttingDown(), organisation);
        };
    }

    private static Result admitted(Arrival arrival, AdmittedCaller caller) {
        Route route =
                caller.identity() instanceof CallerIdentity.Member member
                        ? arrival.route().withPriority(member.organisation().priority())
                        : arrival.route();
        return new Result.Admitted(
                caller, arrival.metadata().withScope(IdScope.of(caller.identity())), route);
    }

    // A request that waited, or whose host was frozen, may find that the knowledge is too old now.
    private Optional<ResultException> refusalBeforeSend(Arrival arrival) {
        OptionalLong ageMillis = ageMillis();
        return mKeyAdmission.isCurrent(ageMillis)
                ? Optional.empty()
                : Optional.of(notCurrent(ageMillis, arrival.remainingMillis()));
    }

    private ResultException notCurrent(OptionalLong ageMillis, long remainingMillis) {
        return CallFailures.keysNotCurrent(
                ageMillis,
                mKeyAdmission.retryAfterMillis(mFreshness.millisSinceAnswer()),
                remainingMillis);
    }
}
