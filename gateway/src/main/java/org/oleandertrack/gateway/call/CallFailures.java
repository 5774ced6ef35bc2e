package org.oleandertrack.gateway.call;

import java.util.OptionalLong;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Creates the results of calls that are refused before a target runs them. */
final class CallFailures {

    // Full queues become clearly shorter in this time.
    private static final long RETRY_AFTER_MILLIS = 150;
    private static final long STORE_RETRY_AFTER_MILLIS = 500;
    // Nothing changes for the stream, so the caller may begin a new one at once.
    private static final long NEW_STREAM_RETRY_AFTER_MILLIS = 10;
    // Short, because the load balancer sends the caller's next connection to another host.
    private static final long STOPPING_RETRY_AFTER_MILLIS = 20;
    // Largest Retry-After relative to the remaining time, so that another try can still succeed.
    private static final long RETRY_REMAINING_DIVISOR = 3;

    private CallFailures() {}

    static ResultException budgetExhausted(SpendingResult.Exhausted result, long budgetTokens) {
        return new ResultException(
                ResultCode.BUDGET_EXHAUSTED,
                Execution.NOT_RUN,
                "the turn exceeds the remaining budget: the program was granted "
                        + result.grantedTokens()
                        + " of "
                        + budgetTokens
                        + " tokens",
                0);
    }

    static ResultException previousTurnNotFound(String previousTurnId) {
        return new ResultException(
                ResultCode.PREVIOUS_TURN_NOT_FOUND,
                Execution.NOT_RUN,
                "no turn has the id " + previousTurnId,
                0);
    }

    static ResultException historyUnavailable(String reason) {
        return new ResultException(
                ResultCode.HISTORY_UNAVAILABLE,
                Execution.NOT_RUN,
                reason,
                STORE_RETRY_AFTER_MILLIS);
    }

    static ResultException storeUnavailable(String reason) {
        return new ResultException(
                ResultCode.STORE_UNAVAILABLE, Execution.NOT_RUN, reason, STORE_RETRY_AFTER_MILLIS);
    }

    static ResultException noTarget(String service, int targetCount, int triedCount) {
        return new ResultException(
                ResultCode.NO_TARGET_AVAILABLE,
                Execution.NOT_RUN,
                targetCount + " targets of " + service + ", " + triedCount + " tried",
                RETRY_AFTER_MILLIS);
    }

    static ResultException rateLimited(String service, long waitMillis, long remainingMillis) {
        return new ResultException(
                ResultCode.TARGETS_RATE_LIMITED,
                Execution.NOT_RUN,
                "the targets of " + service + " take no more requests for " + waitMillis + " ms",
                atMostOfRemaining(Math.max(RETRY_AFTER_MILLIS, waitMillis), remainingMillis));
    }

    static ResultException keyRequired(String reason, long configVersion) {
        return new ResultException(
                ResultCode.ACCESS_KEY_REQUIRED,
                Execution.NOT_RUN,
                reason + " in configuration " + configVersion,
                0);
    }

    static ResultException keysNotCurrent(
            OptionalLong ageMillis, long retryAfterMillis, long remainingMillis) {
        return new ResultException(
                ResultCode.ACCESS_KEYS_NOT_CURRENT,
                Execution.NOT_RUN,
                ageMillis.isPresent()
                        ? "the configuration was last confirmed "
                                + ageMillis.getAsLong()
                                + " ms ago"
                        : "the configuration was never confirmed",
                atMostOfRemaining(retryAfterMillis, remainingMillis));
    }

    static ResultException organisationRefused(
            OrganisationLimiter.Admission.Refused refusal, long remainingMillis) {
        return new ResultException(
                refusal.code(),
                Execution.NOT_RUN,
                refusal.reason(),
                atMostOfRemaining(Math.max(1, refusal.retryAfterMillis()), remainingMillis));
    }

    static ResultException quarantined() {
        return new ResultException(
                ResultCode.REQUEST_QUARANTINED,
                Execution.NOT_RUN,
                "earlier requests with the same content crashed the targets that ran them",
                0);
    }

    static ResultException versionGone(String service, String softwareVersion) {
        return new ResultException(
                ResultCode.STREAM_VERSION_GONE,
                Execution.NOT_RUN,
                "no target of " + service + " has the version " + softwareVersion,
                NEW_STREAM_RETRY_AFTER_MILLIS);
    }

    static ResultException originUnknown(String reason) {
        return new ResultException(
                ResultCode.STREAM_ORIGIN_UNKNOWN,
                Execution.NOT_RUN,
                reason,
                NEW_STREAM_RETRY_AFTER_MILLIS);
    }

    static ResultException shuttingDown() {
        return new ResultException(
                ResultCode.SHUTTING_DOWN,
                Execution.NOT_RUN,
                "this host is stopping and takes no new calls",
                STOPPING_RETRY_AFTER_MILLIS);
    }

    static ResultException stoppedDuringCall() {
        return new ResultException(
                ResultCode.STOPPED_DURING_CALL,
                Execution.UNKNOWN,
                "this host stopped before the target had answered",
                0);
    }

    static ResultException noResponse() {
        return new ResultException(
                ResultCode.TARGET_TIMEOUT, Execution.UNKNOWN, "no response by the deadline", 0);
    }

    static ResultException overloaded() {
        return new ResultException(
                ResultCode.OVERLOADED,
                Execution.NOT_RUN,
                "the deadline passed before the request was sent",
                RETRY_AFTER_MILLIS);
    }

    private static long atMostOfRemaining(long retryAfterMillis, long remainingMillis) {
        long maxMillis = Math.max(RETRY_AFTER_MILLIS, remainingMillis / RETRY_REMAINING_DIVISOR);
        return Math.min(retryAfterMillis, maxMillis);
    }
}
