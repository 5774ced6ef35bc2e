package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.OutboundFailure;
import org.oleandertrack.http.ResponseWriter;

/**
 * One call: reserves tokens, sends the request to a target, passes the answer on, and decides what
 * follows when a target refuses or fails. Confined to the event loop of the caller's connection.
 */
final class Call implements ResponseWriter.Listener {

    // Sends of one attempt of the caller, refused ones included.
    private static final int MAX_SENDS = 5;
    // Time that a target which could not be reached or refused its id is left alone.
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);
    // A target whose queue is full works it off at a rate of some requests per 100 ms.
    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    // Callers come back after the time in which a full queue has moved noticeably.
    private static final long RETRY_AFTER_MILLIS = 150;
    private static final long STORE_RETRY_MILLIS = 500;
    // A resumed stream needs some tens of milliseconds to its first event; with less time left the
    // caller has given up before.
    private static final long MIN_REMAINING_MILLIS = 50;
    // A slow store answers within half a second; later the outage allowance is asked.
    private static final long RESERVE_LIMIT_MILLIS = 700;
    // An answer is asked for once more at a target that was silent once.
    private static final int MAX_STALLS = 2;
    private static final int DEFAULT_EXPECTED_TOKENS = 35;

    private final CallContext mContext;
    private final TrafficConfig mConfig;
    private final Route mRoute;
    private final CallFacts mFacts;
    private final InboundRequest mRequest;
    private final ResponseWriter mWriter;
    private final String mService;
    private final Optional<TurnRequest> mTurn;
    private final int mTokensPerEvent;
    private final Set<String> mExcluded = new HashSet<>();
    private final Set<String> mRanAt = new HashSet<>();
    private ScheduledFuture<?> mTimer;
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<SpendingResult.Reserved> mReserved = Optional.empty();
    private int mSends;
    private int mRefusals;
    private boolean mEnded;
    private boolean mMayHaveRun;
    private int mStalls;
    private long mPredictedMillis;
    private long mSentNanos;
    private StreamProgress mProgress = new StreamProgress();

    Call(
            CallContext context,
            TrafficConfig config,
            Route route,
            CallFacts facts,
            InboundRequest request,
            ResponseWriter writer) {
        mContext = context;
        mConfig = config;
        mRoute = route;
        mFacts = facts;
        mRequest = request;
        mWriter = writer;
        mService = route.serviceFor(routingKey(facts));
        Optional<EngineSpec> engine =
                Optional.ofNullable(config.services().get(mService)).flatMap(ServiceSpec::engine);
        mTurn = engine.flatMap(spec -> facts.turn()).map(turn -> toTurnRequest(turn, facts));
        mTokensPerEvent = engine.map(EngineSpec::tokensPerEvent).orElse(1);
    }

    // Life-cycle

    void start() {
        mContext.metrics().started();
        mWriter.setListener(this);
        mTimer =
                mWriter.eventLoop()
                        .schedule(this::expire, remainingMillis(), TimeUnit.MILLISECONDS);
        if (mFacts.turn().isPresent()
                && mFacts.program().isPresent()
                && mFacts.turn().get().budgetTokens().isPresent()) {
            reserve(mFacts.program().get(), mFacts.turn().get());
            return;
        }
        dispatch(Optional.empty());
    }

    @Override
    public void onClosed() {
        if (mEnded) {
            return;
        }
        mAttempt.ifPresent(Attempt::cancel);
        end(ResultCode.CANCELLED.name(), "the caller closed its connection");
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        mAttempt.ifPresent(attempt -> attempt.setReading(writable));
    }

    // Accessors

    HttpMethod method() {
        return mRequest.head().method();
    }

    Route route() {
        return mRoute;
    }

    CallContext context() {
        return mContext;
    }

    ResponseWriter writer() {
        return mWriter;
    }

    StreamProgress progress() {
        return mProgress;
    }

    String requestId() {
        return mFacts.requestId();
    }

    // Budget

    private void reserve(ProgramFacts program, TurnFacts turn) {
        Reservation reservation = new Reservation(program);
        var _ =
                mWriter.eventLoop()
                        .schedule(
                                () -> reserveFromAllowance(reservation, turn),
                                RESERVE_LIMIT_MILLIS,
                                TimeUnit.MILLISECONDS);
        var _ =
                mContext.spending()
                        .reserve(
                                program.programId(),
                                turn.budgetTokens().getAsLong(),
                                turn.maxTokens())
                        .thenAccept(
                                result ->
                                        mWriter.eventLoop()
                                                .execute(() -> reservation.take(result)));
    }

    // The store has not answered for so long that the caller's time would pass unused.
    private void reserveFromAllowance(Reservation reservation, TurnFacts turn) {
        if (mEnded || reservation.mTaken) {
            return;
        }
        logStep("reservation late", null, "the store has not answered in time");
        var _ =
                mContext.spending()
                        .reserveFromAllowance(
                                reservation.mProgram.programId(),
                                turn.budgetTokens().getAsLong(),
                                turn.maxTokens())
                        .thenAccept(
                                result ->
                                        mWriter.eventLoop()
                                                .execute(() -> reservation.take(result)));
    }

    /** Takes the first answer to a reservation and gives back what a second one has reserved. */
    private final class Reservation {
        private final ProgramFacts mProgram;
        private boolean mTaken;

        private Reservation(ProgramFacts program) {
            mProgram = program;
        }

        private void take(SpendingResult result) {
            if (!mTaken) {
                mTaken = true;
                reserved(mProgram, result);
                return;
            }
            if (result instanceof SpendingResult.Reserved second) {
                mContext.spending().settle(mProgram.programId(), second, 0);
            }
        }
    }

    private void reserved(ProgramFacts program, SpendingResult result) {
        if (mEnded) {
            if (result instanceof SpendingResult.Reserved reserved) {
                mContext.spending().settle(program.programId(), reserved, 0);
            }
            return;
        }
        switch (result) {
            case SpendingResult.Reserved reserved -> {
                mReserved = Optional.of(reserved);
                dispatch(Optional.empty());
            }
            case SpendingResult.Exhausted exhausted ->
                    fail(
                            ResultCode.BUDGET_EXHAUSTED,
                            Execution.NOT_RUN,
                            "the program was granted "
                                    + exhausted.grantedTokens()
                                    + " of "
                                    + mFacts.turn().get().budgetTokens().getAsLong()
                                    + " tokens",
                            0);
            case SpendingResult.Unavailable unavailable ->
                    fail(
                            ResultCode.STORE_UNAVAILABLE,
                            Execution.NOT_RUN,
                            unavailable.reason(),
                            STORE_RETRY_MILLIS);
        }
    }

    // Dispatch

    /** Sends the request to a target: the given one again, or one that is chosen. */
    private void dispatch(Optional<TargetHandle> again) {
        Optional<PlacedTarget> placed = again.isPresent() ? sendAgain(again.get()) : place();
        if (placed.isEmpty()) {
            failUnplaced();
            return;
        }
        mSends++;
        TargetHandle handle = placed.get().handle();
        logPlaced(handle, placed.get().choice(), again.isPresent());
        Attempt attempt = new Attempt(this, handle);
        mAttempt = Optional.of(attempt);
        mSentNanos = System.nanoTime();
        if (mTurn.isPresent() && again.isEmpty()) {
            mPredictedMillis = (long) placed.get().choice().predictedCost();
        }
        if (mRoute.isRepeatable() && mStalls < MAX_STALLS) {
            new StallWatch(this, attempt, mPredictedMillis).start();
        }
        attempt.send(makeRequest(handle), mRequest.body().retainedDuplicate());
    }

    private Optional<PlacedTarget> sendAgain(TargetHandle handle) {
        mContext.targets().sentAgain(handle);
        return Optional.of(
                new PlacedTarget(handle, new PlacementChoice(handle.id(), 0, 0, 0, 0, 0)));
    }

    private Optional<PlacedTarget> place() {
        long nowNanos = System.nanoTime();
        return mTurn.isPresent()
                ? mContext.targets().placeTurn(mService, mTurn.get(), mExcluded, nowNanos)
                : mContext.targets()
                        .placeCall(mService, mExcluded, mRoute.isRepeatable(), nowNanos);
    }

    private void failUnplaced() {
        if (mProgress.isStarted()) {
            abort("no target is left to resume the stream");
            return;
        }
        if (mMayHaveRun) {
            fail(ResultCode.TARGET_FAILED, Execution.UNKNOWN, "no other target is left", 0);
            return;
        }
        fail(
                ResultCode.NO_TARGET_AVAILABLE,
                Execution.NOT_RUN,
                mContext.targets().size(mService)
                        + " targets of "
                        + mService
                        + ", "
                        + mExcluded.size()
                        + " tried",
                RETRY_AFTER_MILLIS);
    }

    private HttpRequest makeRequest(TargetHandle handle) {
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, method(), mRequest.head().uri());
        HopHeaders.copy(mRequest.head().headers(), head.headers());
        boolean hadBody =
                mRequest.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || mRequest.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hadBody) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, mRequest.body().readableBytes());
        }
        mContext.dialect()
                .writeInstructions(
                        head.headers(),
                        new TargetInstructions(
                                handle.id(),
                                Math.max(1, remainingMillis()),
                                OptionalInt.empty(),
                                mProgress.lastEventId()));
        return head;
    }

    // Stalls

    boolean isCurrent(Attempt attempt) {
        return !mEnded && mAttempt.isPresent() && mAttempt.get().equals(attempt);
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Returns how long the target has been silent. */
    long quietMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mProgress.lastActivityNanos(mSentNanos));
    }

    /** The target has been silent for longer than its load explains. */
    void stalled(Attempt attempt, long quietMillis) {
        TargetHandle handle = attempt.handle();
        long nowNanos = System.nanoTime();
        mStalls++;
        boolean hangs = mStalls >= MAX_STALLS || mContext.targets().isFailing(handle);
        mContext.targets().silent(handle, mSentNanos, nowNanos);
        logStep("target stalled", handle, "quiet for " + quietMillis + " ms");
        boolean elsewhere = mayRunElsewhere(handle);
        if (hangs && !elsewhere && mProgress.isStarted()) {
            // The caller has a part of the answer, and no other target may go on with it.
            return;
        }
        mMayHaveRun = true;
        mRanAt.add(handle.id());
        attempt.cancel();
        if (elsewhere) {
            mExcluded.add(handle.id());
            next(Optional.empty(), "stalled");
            return;
        }
        if (hangs) {
            fail(
                    ResultCode.TARGET_FAILED,
                    Execution.UNKNOWN,
                    "target " + handle.id() + " does not answer",
                    0);
            return;
        }
        next(Optional.of(handle), "stalled");
    }

    private boolean mayRunElsewhere(TargetHandle handle) {
        Set<String> ranAt = new HashSet<>(mRanAt);
        ranAt.add(handle.id());
        return ranAt.size() < mRoute.attempts();
    }

    // Outcomes of attempts, called by the attempt

    /** The target stated that it has not run the request. */
    void refused(Attempt attempt, int status) {
        attempt.released();
        mRefusals++;
        TargetHandle handle = attempt.handle();
        boolean otherIncarnation = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        mContext.targets()
                .avoid(
                        handle,
                        System.nanoTime() + (otherIncarnation ? AVOID_NANOS : FULL_AVOID_NANOS));
        mContext.targets().abandoned(handle);
        mExcluded.add(handle.id());
        logStep("target refused", handle, "status " + status);
        next(Optional.empty(), "refused with status " + status);
    }

    /** The target's answer cannot be used and has been broken off. */
    void failed(Attempt attempt, OutboundFailure failure) {
        attempt.released();
        TargetHandle handle = attempt.handle();
        logStep("target failed", handle, failure.name().toLowerCase(Locale.ROOT));
        mContext.targets()
                .failed(handle, failure.name().toLowerCase(Locale.ROOT), System.nanoTime());
        if (!failure.mayHaveRun()) {
            mContext.targets().avoid(handle, System.nanoTime() + AVOID_NANOS);
            mExcluded.add(handle.id());
            next(Optional.empty(), "not reached: " + failure);
            return;
        }
        mMayHaveRun = true;
        mRanAt.add(handle.id());
        if (!mRoute.isRepeatable()) {
            if (mProgress.isStarted()) {
                abort("stream broken off: " + failure);
            } else {
                fail(ResultCode.TARGET_FAILED, Execution.UNKNOWN, failure.toString(), 0);
            }
            return;
        }
        boolean mayGoElsewhere = mayRunElsewhere(handle);
        if (mayGoElsewhere) {
            mExcluded.add(handle.id());
        }
        next(mayGoElsewhere ? Optional.empty() : Optional.of(handle), failure.toString());
    }

    /** The answer was passed on whole. */
    void answered(Attempt attempt, int status) {
        attempt.released();
        long nowNanos = System.nanoTime();
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            mContext.targets().failed(attempt.handle(), "status " + status, nowNanos);
        } else {
            mContext.targets().succeeded(attempt.handle(), nowNanos - mSentNanos, nowNanos);
        }
        end("OK", "status " + status);
    }

    private void next(Optional<TargetHandle> again, String reason) {
        if (mSends >= MAX_SENDS || remainingMillis() < MIN_REMAINING_MILLIS) {
            failUnplaced();
            return;
        }
        mContext.metrics().decided("retry", again.isPresent() ? "same target" : "other target");
        logStep("retrying", null, reason);
        dispatch(again);
    }

    // End

    private void expire() {
        if (mEnded) {
            return;
        }
        boolean dispatched = mAttempt.isPresent();
        mAttempt.ifPresent(Attempt::cancel);
        if (mProgress.isStarted()) {
            abort("time is up");
            return;
        }
        if (dispatched || mMayHaveRun) {
            fail(ResultCode.TARGET_TIMEOUT, Execution.UNKNOWN, "no answer in time", 0);
            return;
        }
        fail(
                ResultCode.OVERLOADED,
                Execution.NOT_RUN,
                "the deadline passed before the request was sent",
                RETRY_AFTER_MILLIS);
    }

    private void fail(ResultCode code, Execution execution, String message, long retryAfterMillis) {
        if (mEnded) {
            return;
        }
        end(code.name(), message);
        mWriter.respond(
                mContext.answers()
                        .failure(
                                new ResultException(code, execution, message, retryAfterMillis),
                                mFacts.requestId()));
    }

    private void abort(String reason) {
        if (mEnded) {
            return;
        }
        end(ResultCode.TARGET_FAILED.name(), reason);
        mWriter.abort();
    }

    private void end(String result, String reason) {
        mEnded = true;
        mTimer.cancel(false);
        mAttempt = Optional.empty();
        mReserved.ifPresent(
                reserved ->
                        mContext.spending()
                                .settle(
                                        mFacts.program().orElseThrow().programId(),
                                        reserved,
                                        mProgress.events() * mTokensPerEvent));
        long durationNanos = System.nanoTime() - mRequest.firstByteNanos();
        mContext.metrics().ended(mRoute.kind(), result, durationNanos);
        var line =
                mContext.log()
                        .info("answered")
                        .text("request", mFacts.requestId())
                        .text("route", mRoute.name())
                        .text("result", result)
                        .text("reason", reason)
                        .number("configVersion", mConfig.version())
                        .number("durationMs", TimeUnit.NANOSECONDS.toMillis(durationNanos))
                        .number("sends", mSends)
                        .number("refusals", mRefusals);
        // A request that was never placed has no other line that names its program.
        mFacts.program().ifPresent(program -> line.text("program", program.programId()));
        if (mRoute.kind() == RequestKind.STREAMING) {
            line.number("firstEventMs", mProgress.firstEventMillis(mRequest.firstByteNanos()))
                    .number("longestGapMs", mProgress.longestGapMillis())
                    .number("events", mProgress.events())
                    .number(
                            "reservedTokens",
                            mReserved.map(SpendingResult.Reserved::tokens).orElse(0L))
                    .flag(
                            "outageAllowance",
                            mReserved.map(SpendingResult.Reserved::fromAllowance).orElse(false));
        }
        line.write();
    }

    // Helpers

    long remainingMillis() {
        long limitMillis =
                Math.min(
                        mFacts.deadlineMillis().orElse(mRoute.timeoutMillis()),
                        mRoute.timeoutMillis());
        long elapsedNanos = System.nanoTime() - mRequest.firstByteNanos();
        return limitMillis - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
    }

    private static String routingKey(CallFacts facts) {
        return facts.program().map(ProgramFacts::programId).orElse(facts.requestId());
    }

    private static TurnRequest toTurnRequest(TurnFacts turn, CallFacts facts) {
        long expected = turn.expectedTokens().orElse(DEFAULT_EXPECTED_TOKENS);
        return new TurnRequest(
                turn.promptTokens(),
                turn.parts(),
                Math.clamp(expected, 1, Math.max(1, turn.maxTokens())),
                facts.program().map(ProgramFacts::programId).orElse(""));
    }

    private void logPlaced(TargetHandle handle, PlacementChoice choice, boolean again) {
        mContext.metrics().decided("placement", again ? "same target" : "least cost");
        var line =
                mContext.log()
                        .info("placed")
                        .text("request", mFacts.requestId())
                        .text("route", mRoute.name())
                        .text("target", handle.id())
                        .text("zone", handle.record().zone())
                        .number("send", mSends)
                        .flag("sameTarget", again)
                        .decimal("cost", choice.predictedCost())
                        .decimal("requests", choice.requests())
                        .decimal("slowness", choice.slowness())
                        .number("missingTokens", choice.missingTokens())
                        .number("ageMs", Math.min(choice.ageMillis(), 1_000_000))
                        .number("remainingMs", remainingMillis());
        mTurn.ifPresent(
                turn ->
                        line.number("promptTokens", turn.promptTokens())
                                .number("promptParts", turn.parts().size()));
        mFacts.program()
                .ifPresent(
                        program ->
                                line.text("program", program.programId())
                                        .text("session", program.sessionId()));
        line.write();
    }

    private void logStep(String event, TargetHandle handle, String reason) {
        var line = mContext.log().info(event).text("request", mFacts.requestId());
        if (handle != null) {
            line.text("target", handle.id());
        }
        line.text("reason", reason)
                .number("send", mSends)
                .number("events", mProgress.events())
                .number("remainingMs", remainingMillis())
                .write();
    }
}
