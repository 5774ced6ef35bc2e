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
 * Runs calls that may not be repeated at most once for each idempotency key: a durable intent comes
 * before the dispatch, the recorded outcome before the answer. Thread safe.
 */
final class IntentCallService implements LocalCallService.ActiveCallService {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ShardRegistry mShards;
    private final IntentStore mIntents;
    private final CallPreconditions mPreconditions;
    private final Dispatcher mDispatcher;
    private final LongSupplier mNanoClock;
    private final ProgramCallService.ProgramCallConfig mSettings;

    /** Completes when the attempt that is under way for a key has ended. */
    private final Map<String, CompletableFuture<Void>> mUnderWay = new ConcurrentHashMap<>();

    IntentCallService(
            ShardRegistry shards,
            IntentStore intents,
            CallPreconditions preconditions,
            Dispatcher dispatcher,
            LongSupplier nanoClock,
            ProgramCallService.ProgramCallConfig settings) {
        mShards = shards;
        mIntents = intents;
        mPreconditions = preconditions;
        mDispatcher = dispatcher;
        mNanoClock = nanoClock;
        mSettings = settings;
    }

    // Operations

    @Override
    public void run(ActiveCall call, ResponseSink sink) {
        CallerRequest request = call.request();
        mPreconditions.requireCurrentConfig();
        ProgramClass programClass = mPreconditions.programClass(request);
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
        IntentOutcome outcome = begin(request, attemptId, shard.fence(), deadlineNanos);
        if (outcome instanceof IntentOutcome.InProgress) {
            awaitUnderWay(request, deadlineNanos);
            outcome = begin(request, attemptId, shard.fence(), deadlineNanos);
        }
        switch (outcome) {
            case IntentOutcome.Started started ->
                    runOnce(call, programClass, shard, started.intent(), deadlineNanos, sink);
            case IntentOutcome.Finished finished -> decode(finished.answer()).sendTo(sink);
            case IntentOutcome.InProgress progress ->
                    throw refusal(
                            ResultCode.ATTEMPT_IN_PROGRESS,
                            "attempt " + progress.attemptId() + " is still running");
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

    private IntentOutcome begin(
            CallerRequest request, String attemptId, long fence, long deadlineNanos) {
        return StoreCalls.await(
                mIntents.begin(
                        request.organisation(),
                        request.idempotencyKey().orElseThrow(),
                        RequestDigest.of(request),
                        attemptId,
                        fence,
                        StoreCalls.deadlineNanos(mNanoClock.getAsLong(), deadlineNanos)));
    }

    private void awaitUnderWay(CallerRequest request, long deadlineNanos) {
        CompletableFuture<Void> underWay = mUnderWay.get(nameOf(request));
        if (underWay == null) {
            return;
        }
        try {
            underWay.get(deadlineNanos - mNanoClock.getAsLong(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            Logger.debug("the attempt for key {} is still under way", nameOf(request));
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
        mUnderWay.put(nameOf(call.request()), done);
        try {
            // The attempt goes on when the caller leaves, so that its outcome is recorded.
            BufferedAnswer answer =
                    new BufferedAnswer(mSettings.maxAnswerBytes(), new CompletableFuture<>());
            dispatch(call, programClass, shard, intent, deadlineNanos, answer);
            StoredAnswer stored = new StoredAnswer(answer.head(), answer.body());
            finish(intent, stored, deadlineNanos);
            stored.sendTo(sink);
        } finally {
            mUnderWay.remove(nameOf(call.request()), done);
            done.complete(null);
        }
    }

    private void dispatch(
            ActiveCall call,
            ProgramClass programClass,
            HeldShard shard,
            Intent intent,
            long deadlineNanos,
            BufferedAnswer answer) {
        DispatchGrant grant =
                new DispatchGrant(
                        intent.attemptId(),
                        shard.shard(),
                        shard.fence(),
                        deadlineNanos,
                        mShards::leaseEndNanos,
                        0,
                        ClassPriority.of(programClass),
                        programClass.targets());
        try {
            mDispatcher.run(call, grant, answer);
        } catch (ResultException e) {
            if (e.execution() == Execution.NOT_RUN) {
                abandon(call.request(), intent, deadlineNanos);
            } else {
                mIntents.endUnknown(intent);
            }
            throw e;
        }
    }

    /** Frees the key; if that fails the key stays blocked, which is safe. */
    private void abandon(CallerRequest request, Intent intent, long deadlineNanos) {
        try {
            mIntents.abandonNotRun(
                            request.organisation(),
                            request.idempotencyKey().orElseThrow(),
                            intent.attemptId(),
                            commitDeadline(deadlineNanos))
                    .join();
        } catch (CompletionException e) {
            Logger.warn("key {} stays blocked: {}", nameOf(request), e.getCause().getMessage());
        }
    }

    private void finish(Intent intent, StoredAnswer answer, long deadlineNanos) {
        byte[] data = answer.encode().getBytes(StandardCharsets.UTF_8);
        try {
            mIntents.finish(intent, new IntentAnswer(data), commitDeadline(deadlineNanos)).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof StoreException store) {
                throw new ResultException(
                        ResultCode.HISTORY_NOT_COMMITTED,
                        Execution.RUN,
                        store.getMessage(),
                        mSettings.retryAfterMillis());
            }
            throw e;
        }
    }

    private long commitDeadline(long deadlineNanos) {
        long patience = Deadlines.after(mNanoClock.getAsLong(), mSettings.commitDeadlineMillis());
        return Math.max(deadlineNanos, patience);
    }

    private static StoredAnswer decode(IntentAnswer answer) {
        return StoredAnswer.decode(new String(answer.data(), StandardCharsets.UTF_8));
    }

    private static String nameOf(CallerRequest request) {
        return request.organisation() + "/" + request.idempotencyKey().orElseThrow();
    }

    private static ResultException refusal(ResultCode code, String message) {
        return new ResultException(code, message).withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
