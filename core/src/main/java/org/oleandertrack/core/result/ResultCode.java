package org.oleandertrack.core.result;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Numbered results that are reported to callers, operators and peers. Numbers are never reused. All
 * codes are documented in {@code docs/result-codes.md}.
 */
public enum ResultCode {
    // Caller input.
    INVALID_JSON(
            1001, 400, RetryAdvice.NEVER, Execution.NOT_RUN, "The request body is not valid JSON."),
    INVALID_REQUEST(
            1002,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The request body lacks a required field or a field has the wrong type."),
    MISSING_HEADER(
            1003, 400, RetryAdvice.NEVER, Execution.NOT_RUN, "A required header is missing."),
    INVALID_HEADER(
            1004,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A header value is malformed or out of range."),
    BODY_TOO_LARGE(
            1005,
            413,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The request body exceeds the configured limit."),
    HEADER_TOO_LARGE(
            1006,
            431,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The request headers exceed the configured limit."),
    UNKNOWN_MODEL(
            1007,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "No target serves the requested model."),
    UNKNOWN_SERVICE(
            1008,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "No target provides the requested service."),
    UNKNOWN_PATH(
            1009,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The path is not part of the interface."),
    IDEMPOTENCY_KEY_REQUIRED(
            1010,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A call that may not be repeated needs an Idempotency-Key header."),
    MALFORMED_REQUEST(
            1011,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The request is not valid HTTP, or its length is ambiguous."),
    REQUEST_TOO_SLOW(
            1012,
            408,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The request did not arrive within the time that the configuration allows."),
    ACCESS_KEY_REQUIRED(
            1013,
            401,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The request carries no valid access key, and its route needs one."),
    // Programs.
    UNKNOWN_PROGRAM(
            2001,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The program does not exist and the turn is not its first."),
    TURN_OUT_OF_ORDER(
            2002,
            409,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The turn is not the one after the program's last committed turn."),
    TURN_CONTENT_MISMATCH(
            2003,
            409,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The turn was already run with another request body."),
    TURN_IN_PROGRESS(
            2004,
            409,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "Another turn of the program is running."),
    PROGRAM_ENDED(2005, 410, RetryAdvice.NEVER, Execution.NOT_RUN, "The program has ended."),
    BUDGET_EXHAUSTED(
            2006,
            402,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The remaining budget does not cover the worst case of the call."),
    TURN_LIMIT_REACHED(
            2007,
            429,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The program reached the turn limit of its class and was ended."),
    TIME_LIMIT_REACHED(
            2008,
            429,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The program reached the time limit of its class and was ended."),
    REPETITION_LIMIT_REACHED(
            2009,
            429,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The program repeated the same request too often and was ended."),
    UNKNOWN_CLASS(
            2010,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The configuration has no program class of this name."),
    HISTORY_NOT_COMMITTED(
            2011,
            503,
            RetryAdvice.LATER,
            Execution.RUN,
            "The turn ran, but its history could not be made durable in time; its answer is withheld."),
    INVALID_PARENT(
            2012,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The parent does not exist, has ended, or is not the root of the program's id."),
    ANSWER_NOT_KEPT(
            2013,
            410,
            RetryAdvice.NEVER,
            Execution.RUN,
            "The turn was committed, but its answer is too large to be kept for a replay."),
    PREVIOUS_TURN_NOT_FOUND(
            2014,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "No turn with the stated id has ended within its retention time."),
    HISTORY_UNAVAILABLE(
            2015,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The turn to continue from cannot be read now."),
    TURN_NOT_KEPT(
            2016,
            502,
            RetryAdvice.CALLER_DECIDES,
            Execution.RUN,
            "The turn ran, but the store did not confirm it in time."),
    // Admission and limits.
    OVERLOADED(
            3001,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The predicted wait exceeds what the program's class allows."),
    ORGANISATION_LIMIT_REACHED(
            3002,
            429,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The organisation is over its share of the capacity."),
    QUEUE_FULL(
            3003,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "A queue reached its configured length."),
    CONNECTION_LIMIT_REACHED(
            3004,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The process reached its limit of concurrent calls."),
    MEMORY_LIMIT_REACHED(
            3005,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The process reached its limit of buffered bytes."),
    SHUTTING_DOWN(
            3006,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The process is stopping and takes no new calls."),
    STOPPED_DURING_CALL(
            3007,
            502,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The process stopped before the call had ended."),
    ORGANISATION_RATE_EXCEEDED(
            3008,
            429,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The requests of the organisation exceed its configured rate."),
    PROGRAM_NOT_ADMITTED(
            3009,
            429,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The organisation's admitted programs need its configured rate, so no new one begins."),
    // Targets.
    NO_TARGET_AVAILABLE(
            4001,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "No reachable target can take the call."),
    TARGET_FAILED(
            4002,
            502,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The target closed the connection or sent an invalid response."),
    TARGET_TIMEOUT(
            4003,
            504,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The target did not answer in time."),
    TARGET_UNREACHABLE(
            4004,
            502,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The connection to the target could not be opened."),
    ATTEMPT_LOST(
            4005,
            502,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The connection to the process beside the target was lost during the call."),
    DEADLINE_EXCEEDED(
            4006,
            504,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The deadline passed before the call started."),
    CANCELLED(
            4007,
            499,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The caller left before the answer was complete."),
    STALLED(
            4008,
            504,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The answer stopped arriving for longer than the stall timeout."),
    TARGETS_RATE_LIMITED(
            4009,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The targets limit the rate of their requests, and none takes the call soon enough."),
    REQUEST_QUARANTINED(
            4010,
            429,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "Earlier requests with the same content crashed the targets that ran them."),
    STREAM_VERSION_GONE(
            4011,
            503,
            RetryAdvice.CALLER_DECIDES,
            Execution.NOT_RUN,
            "No target has the software version that began the stream; begin a new one."),
    STREAM_ORIGIN_UNKNOWN(
            4012,
            503,
            RetryAdvice.CALLER_DECIDES,
            Execution.NOT_RUN,
            "It is not known which software version began the stream; begin a new one."),
    // Ownership and platform.
    NOT_SHARD_HOLDER(
            5001,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The entry host does not hold the program's shard."),
    HOLDER_UNREACHABLE(
            5002,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The holder of the program's shard cannot be reached."),
    STORE_UNAVAILABLE(
            5003,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The platform's store does not answer, and the call needs it."),
    STALE_FENCE(
            5004,
            409,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The call carries a fencing number older than the one already seen."),
    WRONG_INCARNATION(
            5005,
            409,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The call is meant for an earlier incarnation of the process."),
    LEASE_EXPIRED(
            5006,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The entry host's lease ended before the call started."),
    OWNERSHIP_LOST(
            5007,
            503,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "Another entry host took the program over while the call was running."),
    CONFIGURATION_NOT_CURRENT(
            5008,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The process cannot confirm that its configuration is current."),
    ACCESS_KEYS_NOT_CURRENT(
            5009,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The process cannot confirm that the access key has not been revoked."),
    STORE_OVER_RATE(
            5010,
            503,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The platform's store takes no more writes at this rate, and the call needs one."),
    // Calls that may not be repeated.
    IDEMPOTENCY_KEY_MISMATCH(
            6001,
            422,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The idempotency key was used with another request."),
    ATTEMPT_OUTCOME_UNKNOWN(
            6002,
            409,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "An earlier attempt with this key was dispatched, and its outcome is not known."),
    ATTEMPT_IN_PROGRESS(
            6003,
            409,
            RetryAdvice.LATER,
            Execution.UNKNOWN,
            "An attempt with this key is still running."),
    // Operator commands and configuration.
    COMMAND_SYNTAX(
            7001,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The command does not follow the grammar."),
    UNKNOWN_OBJECT(
            7002,
            404,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The command names an object that does not exist."),
    VALUE_OUT_OF_RANGE(
            7003,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A value in the command is outside its range or has the wrong unit."),
    VERSION_CONFLICT(
            7004,
            409,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The configuration has a newer version than the command replaces."),
    CHANGE_OUTCOME_UNKNOWN(
            7005,
            503,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "The store did not confirm the change; query the version before sending it again."),
    // Inner protocol.
    UNSUPPORTED_VERSION(
            8001,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The peer speaks another major version of the inner protocol."),
    FRAME_TOO_LARGE(
            8002,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A frame exceeds the largest accepted size."),
    MALFORMED_FRAME(
            8003,
            400,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A frame cannot be decoded or does not fit the state of the connection."),
    PEER_NOT_READING(
            8004,
            503,
            RetryAdvice.LATER,
            Execution.UNKNOWN,
            "The peer stopped reading and its buffer limit was reached."),
    HANDSHAKE_TIMEOUT(
            8005,
            400,
            RetryAdvice.LATER,
            Execution.NOT_RUN,
            "The peer did not send its first frame in time."),
    // Settings and process exit.
    SETTINGS_UNREADABLE(
            9001,
            500,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The settings file cannot be read or is not valid TOML."),
    SETTINGS_UNKNOWN_KEY(
            9002,
            500,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "The settings file has a key that does not exist."),
    SETTINGS_INVALID_VALUE(
            9003,
            500,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A setting has the wrong type, is out of range or is missing."),
    ADDRESS_IN_USE(
            9004,
            500,
            RetryAdvice.NEVER,
            Execution.NOT_RUN,
            "A configured address cannot be bound."),
    USAGE(9005, 500, RetryAdvice.NEVER, Execution.NOT_RUN, "The command line is not valid."),
    INTERNAL_ERROR(
            9099,
            500,
            RetryAdvice.CALLER_DECIDES,
            Execution.UNKNOWN,
            "An unexpected error occurred in the process.");

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values())
                    .collect(Collectors.toMap(ResultCode::number, Function.identity()));

    private final int mNumber;
    private final int mHttpStatus;
    private final RetryAdvice mRetryAdvice;
    private final Execution mDefaultExecution;
    private final String mSummary;

    ResultCode(
            int number,
            int httpStatus,
            RetryAdvice retryAdvice,
            Execution defaultExecution,
            String summary) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mRetryAdvice = retryAdvice;
        mDefaultExecution = defaultExecution;
        mSummary = summary;
    }

    /** Returns the code with the given number, if it exists. */
    public static Optional<ResultCode> fromNumber(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    public int number() {
        return mNumber;
    }

    public int httpStatus() {
        return mHttpStatus;
    }

    public RetryAdvice retryAdvice() {
        return mRetryAdvice;
    }

    /**
     * Returns the execution that is reported if the code that detects the failure knows nothing
     * more specific.
     */
    public Execution defaultExecution() {
        return mDefaultExecution;
    }

    public String summary() {
        return mSummary;
    }
}
