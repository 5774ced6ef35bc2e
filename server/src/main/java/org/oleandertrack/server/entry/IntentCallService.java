package org.oleandertrack.server.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.intent.Intent;
import org.oleandertrack.coordination.intent.IntentAnswer;
import org.oleandertrack.coordination.intent.IntentOutcome;
import org.oleandertrack.coordination.intent.IntentStore;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.tinylog.Logger;

/**
 * Runs calls that may not be repeated at most once per idempotency key. An intent, which records
 * the key and its attempt, is made durable before the call is dispatched; the outcome is made
 * durable before the response is sent. Thread safe.
 */
final class IntentCallService implements LocalCallService.ActiveCallService {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ShardRegistry mShards;
    private final IntentStore mIntents;
    private final CallPreconditions mPreconditions;
    private final Dispatcher mDispatcher;
    private final LongSupplier mNanoClock;
    private final ProgramCallService.DurableCallConfig mConfig;

    /** Maps a qualified key to a future that completes when its running attempt has ended. */
    private final Map<String, CompletableFuture<Void>> mRunningAttempts = new ConcurrentHashMap<>();

    IntentCallService(
            ShardRegistry shards,
            IntentStore intents,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock,
            ProgramCallService.DurableCallConfig config) {
        mShards = shards;
        mIntents = intents;
        mPreconditions = preconditions;
        mDispatcher = dispatcher;
        mNanoClock = nanoClock;
        mConfig = config;
    }

    // Operations

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        mPreconditions.requireCurrentConfig();
        ProgramClass programClass = mPreconditions.requireProgramClass(request);
        mPreconditions.requireStore();
        HeldShard shard = mShards.enter(mShards.shardOf(request));
        try {
            runInShard(call, programClass, shard, sink);
        } finally {
            shard.exit();
        }
    }

    // Helpers: intent

    private void runInShard(
            ActiveCall call, ProgramClass programClass, HeldShard shard, ResponseSink sink) {
        CallerRequest request = call.request();
        long deadlineNanos = Deadlines.after(call.startNanos(), request.timeoutMillis());
        String attemptId = UUID.randomUUID().toString();
        IntentOutcome outcome = beginIntent(request, attemptId, shard.fence(), deadlineNanos);
        if (outcome instanceof IntentOutcome.InProgress) {
            awaitRunningAttempt(request, deadlineNanos);
            outcome = beginIntent(request, attemptId, shard.fence(), deadlineNanos);
        }
        switch (outcome) {
            case IntentOutcome.Started started ->
                    runOnce(call, programClass, shard, started.intent(), deadlineNanos, sink);
            case IntentOutcome.Finished finished -> decode(finished.answer()).sendTo(sink);
            case IntentOutcome.InProgress inProgress ->
                    throw refusal(
                            ResultCode.ATTEMPT_IN_PROGRESS,
                            "attempt " + inProgress.attemptId() + " is still running");
            case IntentOutcome.Mismatch mismatch ->
                    throw refusal(
                            ResultCode.IDEMPOTENCY_KEY_MISMATCH,
                            ResultCode.IDEMPOTENCY_KEY_MISMATCH.summary());
            case IntentOutcome.UnknownOutcome unknown ->
                    throw refusal(
                            ResultCode.ATTEMPT_OUTCOME_UNKNOWN,
                            "attempt "
                                    + unknown.attemptId()
                                    + " was dispatched and its outcome is not known");
        }
    }

    private IntentOutcome beginIntent(
            CallerRequest request, String attemptId, long fence, long deadlineNanos) {
        return StoreFutures.await(
                mIntents.begin(
                        request.organisation(),
                        request.idempotencyKey().orElseThrow(),
                        RequestDigest.of(request),
                        attemptId,
                        fence,
                        StoreFutures.deadlineNanos(mNanoClock.getAsLong(), deadlineNanos)));
    }

    private void awaitRunningAttempt(CallerRequest request, long deadlineNanos) {
        CompletableFuture<Void> runningAttempt = mRunningAttempts.get(qualifiedKey(request));
        if (runningAttempt == null) {
            return;
        }
        try {
            runningAttempt.get(deadlineNanos - mNanoClock.getAsLong(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            Logger.debug(
                    "the attempt for idempotency key {} is still running", qualifiedKey(request));
        }
    }

    // Helpers: run and outcome

    private void runOnce(
            ActiveCall call,
            ProgramClass programClass,
            HeldShard shard,
            Intent intent,
            long deadlineNanos,
            ResponseSink sink) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mRunningAttempts.put(qualifiedKey(call.request()), done);
        try {
            // The caller cannot cancel the attempt, so that its outcome is always recorded.
            BufferedResponse response =
                    new BufferedResponse(mConfig.maxResponseBytes(), new CompletableFuture<>());
            dispatch(call, programClass, shard, intent, deadlineNanos, response);
            StoredResponse storedResponse = new StoredResponse(response.head(), response.body());
            recordOutcome(intent, storedResponse, deadlineNanos);
            storedResponse.sendTo(sink);
        } finally {
            mRunningAttempts.remove(qualifiedKey(call.request()), done);
            done.complete(null);
        }
    }

    private void dispatch(
            ActiveCall call,
            ProgramClass programClass,
            HeldShard shard,
            Intent intent,
            long deadlineNanos,
            BufferedResponse response) {
        DispatchContext context =
                new DispatchContext(
                        intent.attemptId(),
                        shard.shard(),
                        shard.fence(),
                        deadlineNanos,
                        mShards::leaseEndNanos,
                        0,
                        ClassPriority.of(programClass),
                        programClass.targets());
        try {
            mDispatcher.run(call, context, response);
        } catch (ResultException e) {
            if (e.execution() == Execution.NOT_RUN) {
                removeIntent(call.request(), intent, deadlineNanos);
            } else {
                mIntents.endUnknown(intent);
            }
            throw e;
        }
    }

    /**
     * Removes the intent of an attempt that was not run, so that the key can be used again. If this
     * fails, the key stays blocked, which is safe: no second attempt can run.
     */
    private void removeIntent(CallerRequest request, Intent intent, long deadlineNanos) {
        try {
            mIntents.abandonNotRun(
                            request.organisation(),
                            request.idempotencyKey().orElseThrow(),
                            intent.attemptId(),
                            commitDeadlineNanos(deadlineNanos))
                    .join();
        } catch (CompletionException e) {
            Logger.warn(
                    "idempotency key {} stays blocked, its intent cannot be removed: {}",
                    qualifiedKey(request),
                    e.getCause().getMessage());
        }
    }

    private void recordOutcome(Intent intent, StoredResponse response, long deadlineNanos) {
        byte[] data = response.encode().getBytes(StandardCharsets.UTF_8);
        try {
            mIntents.finish(intent, new IntentAnswer(data), commitDeadlineNanos(deadlineNanos))
                    .join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof StoreException store) {
                throw new ResultException(
                        ResultCode.HISTORY_NOT_COMMITTED,
                        Execution.RUN,
                        store.getMessage(),
                        mConfig.retryAfterMillis());
            }
            throw e;
        }
    }

    private long commitDeadlineNanos(long deadlineNanos) {
        long minDeadlineNanos =
                Deadlines.after(mNanoClock.getAsLong(), mConfig.commitTimeoutMillis());
        return Math.max(deadlineNanos, minDeadlineNanos);
    }

    private static StoredResponse decode(IntentAnswer answer) {
        return StoredResponse.decode(new String(answer.data(), StandardCharsets.UTF_8));
    }

    /** Includes the organisation, because idempotency keys are unique only within it. */
    private static String qualifiedKey(CallerRequest request) {
        return request.organisation() + "/" + request.idempotencyKey().orElseThrow();
    }

    private static ResultException refusal(ResultCode code, String message) {
        return new ResultException(code, message).withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
