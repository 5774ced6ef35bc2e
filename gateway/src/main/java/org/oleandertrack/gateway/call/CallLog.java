package org.oleandertrack.gateway.call;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.KeepResult;
import org.oleandertrack.coordination.conversation.StoreReceipt;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.coordination.spending.SpendingResult;
import org.oleandertrack.coordination.stream.OriginLookup;
import org.oleandertrack.core.health.HedgeDenial;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.telemetry.logging.EventLog;

/** Writes the log lines and the decision metrics of one call. */
final class CallLog {

    private static final long MAX_LOGGED_AGE_MILLIS = 1_000_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String OK = "OK";

    private final EventLog mLog;
    private final CallMetrics mMetrics;
    private final Route mRoute;
    private final CallMetadata mMetadata;
    private int mSend;
    private OptionalDouble mPredictedMillis = OptionalDouble.empty();
    private long mSentNanos;
    private Optional<ForwardedHead> mForwardedHead = Optional.empty();

    CallLog(EventLog log, CallMetrics metrics, Route route, CallMetadata metadata) {
        mLog = log;
        mMetrics = metrics;
        mRoute = route;
        mMetadata = metadata;
    }

    /**
     * What a call has come to.
     *
     * @param result name of the result code; OK for success
     * @param firstByteNanos arrival of the request's first byte, as {@link System#nanoTime}
     * @param reservation the reserved tokens, if the call needed any and got them
     */
    record Summary(
            String result,
            String reason,
            long configVersion,
            long durationNanos,
            int sends,
            int refusals,
            StreamProgress progress,
            long firstByteNanos,
            Optional<SpendingResult.Reserved> reservation) {}

    /** Status of a response head that was written to the caller, and the target that sent it. */
    private record ForwardedHead(int status, String targetId) {}

    void placed(
            TargetHandle handle,
            PlacementChoice choice,
            boolean sameTarget,
            OptionalLong permitWaitMillis,
            int send,
            long remainingMillis,
            Optional<TurnRequest> turn,
            StreamProgress progress) {
        mSend = send;
        mMetrics.recordDecision("placement", sameTarget ? "same target" : "least cost");
        var line =
                mLog.info("placed")
                        .text("request", mMetadata.requestId())
                        .text("route", mRoute.name())
                        .text("target", handle.id())
                        .text("zone", handle.record().zone())
                        .text("version", handle.record().softwareVersion())
                        .number("send", send)
                        .flag("sameTarget", sameTarget)
                        .decimal("cost", choice.predictedCost())
                        .decimal("predictedFirstEventMs", choice.firstEventMillis())
                        .decimal("requests", choice.requests())
                        .decimal("slowness", choice.slowness())
                        .decimal("factor", choice.factor())
                        .number("missingTokens", choice.missingTokens())
                        .number(
                                "ageMs",
                                Math.min(choice.slownessAgeMillis(), MAX_LOGGED_AGE_MILLIS))
                        .number("remainingMs", remainingMillis);
        permitWaitMillis.ifPresent(
                waitMillis -> {
                    mMetrics.recordDecision("permit", "granted");
                    line.number("permitWaitMs", waitMillis);
                });
        writeContinuation(line, progress);
        turn.ifPresent(
                request ->
                        line.number("promptTokens", request.promptTokens())
                                .number("promptParts", request.parts().size()));
        mMetadata
                .program()
                .ifPresent(
                        program ->
                                line.text("program", program.programId())
                                        .text("session", program.sessionId()));
        line.write();
    }

    // Names the stream that the request continues, and the last event that the caller has of it.
    private void writeContinuation(EventLog.Line line, StreamProgress progress) {
        if (progress.isStarted()) {
            mMetrics.recordDecision("continuation", "within response");
            line.text("continues", mMetadata.requestId())
                    .text("afterEvent", progress.lastEventId().orElse(""));
            return;
        }
        mMetadata
                .takeUp()
                .ifPresent(
                        takeUp -> {
                            mMetrics.recordDecision("continuation", "by caller");
                            line.text("continues", takeUp.firstRequestId().orElse(""))
                                    .text("afterEvent", takeUp.lastEventId());
                        });
    }

    void hedged(TargetHandle first, TargetHandle second, long delayNanos, long elapsedNanos) {
        mLog.info("hedged")
                .text("request", mMetadata.requestId())
                .text("route", mRoute.name())
                .text("target", second.id())
                .text("lateTarget", first.id())
                .number("dueMs", TimeUnit.NANOSECONDS.toMillis(delayNanos))
                .number("elapsedMs", TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
                .write();
    }

    void hedgeDenied(
            TargetHandle first,
            HedgeDenial denial,
            long delayNanos,
            long elapsedNanos,
            long remainingMillis) {
        mLog.info("hedge denied")
                .text("request", mMetadata.requestId())
                .text("route", mRoute.name())
                .text("lateTarget", first.id())
                .text("reason", denial.text())
                .number("dueMs", TimeUnit.NANOSECONDS.toMillis(delayNanos))
                .number("elapsedMs", TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
                .number("remainingMs", remainingMillis)
                .write();
    }

    void hedgeDecided(TargetHandle winner, Optional<TargetHandle> cancelled, boolean secondWon) {
        mLog.info("hedge decided")
                .text("request", mMetadata.requestId())
                .text("target", winner.id())
                .text("cancelledTarget", cancelled.map(TargetHandle::id).orElse(""))
                .flag("secondWon", secondWon)
                .write();
    }

    void targetDown(TargetHandle handle, String contentKey, String pathKey) {
        mLog.info("target down")
                .text("request", mMetadata.requestId())
                .text("content", contentKey)
                .text("path", pathKey)
                .text("target", handle.incarnationId())
                .write();
    }

    void permitDenied(TargetHandle handle, long waitMillis) {
        mMetrics.recordDecision("permit", "denied");
        mLog.info("permit denied")
                .text("request", mMetadata.requestId())
                .text("target", handle.id())
                .number("waitMs", waitMillis)
                .write();
    }

    void event(
            String event,
            Optional<TargetHandle> handle,
            String reason,
            int send,
            long events,
            long remainingMillis) {
        var line = mLog.info(event).text("request", mMetadata.requestId());
        handle.ifPresent(target -> line.text("target", target.id()));
        line.text("reason", reason)
                .number("send", send)
                .number("events", events)
                .number("remainingMs", remainingMillis)
                .write();
    }

    /** Logs a response that answers another request of the target's connection. */
    void responseSkipped(TargetHandle handle, int status, Optional<String> otherRequestId) {
        mMetrics.recordDecision(
                "response skipped", otherRequestId.isPresent() ? "other request" : "no request id");
        mLog.info("response skipped")
                .text("request", mMetadata.requestId())
                .text("target", handle.id())
                .text("otherRequest", otherRequestId.orElse(""))
                .number("status", status)
                .write();
    }

    /** Logs the head of a response, unless the request was sent once only. */
    void targetAnswered(TargetHandle handle, int status, StreamProgress progress) {
        if (mSend <= 1) {
            return;
        }
        mLog.info("target answered")
                .text("request", mMetadata.requestId())
                .text("target", handle.id())
                .number("status", status)
                .number("send", mSend)
                .flag("responseStarted", progress.isStarted())
                .write();
    }

    /**
     * Records the predicted time of a request that is about to be sent to a target, or of the one
     * of two sends whose response is given to the caller.
     */
    void recordPrediction(OptionalDouble predictedMillis, long sentNanos) {
        mPredictedMillis = predictedMillis;
        mSentNanos = sentNanos;
    }

    /** Records the head that is written to the caller. */
    void recordForwardedHead(TargetHandle handle, int status) {
        mForwardedHead = Optional.of(new ForwardedHead(status, handle.id()));
    }

    void previousTurn(String previousTurnId, TurnLookup lookup, long durationNanos) {
        String result =
                switch (lookup) {
                    case TurnLookup.Found found -> found.source().name().toLowerCase(Locale.ROOT);
                    case TurnLookup.NotFound notFound -> "not found";
                    case TurnLookup.Unavailable unavailable -> "unavailable";
                };
        mMetrics.recordLookup(result, durationNanos);
        var line =
                mLog.info("previous turn")
                        .text("request", mMetadata.requestId())
                        .text("turn", previousTurnId)
                        .text("source", result)
                        .number("durationMs", TimeUnit.NANOSECONDS.toMillis(durationNanos));
        switch (lookup) {
            case TurnLookup.Found found -> line.number("bytes", found.conversation().sizeBytes());
            case TurnLookup.NotFound notFound -> line.text("reason", "no row and no host has it");
            case TurnLookup.Unavailable unavailable -> line.text("reason", unavailable.reason());
        }
        line.write();
    }

    void streamOrigin(String firstRequestId, OriginLookup lookup, long durationNanos) {
        String source =
                switch (lookup) {
                    case OriginLookup.Found found ->
                            found.source().name().toLowerCase(Locale.ROOT).replace('_', ' ');
                    case OriginLookup.NotFound notFound -> "not found";
                    case OriginLookup.Unavailable unavailable -> "unavailable";
                };
        mMetrics.recordDecision("stream origin", source);
        var line =
                mLog.info("stream origin")
                        .text("request", mMetadata.requestId())
                        .text("continues", firstRequestId)
                        .text("source", source)
                        .number("durationMs", TimeUnit.NANOSECONDS.toMillis(durationNanos));
        switch (lookup) {
            case OriginLookup.Found found -> line.text("version", found.origin().softwareVersion());
            case OriginLookup.NotFound notFound ->
                    line.text("reason", "no record, and the service has several versions");
            case OriginLookup.Unavailable unavailable -> line.text("reason", unavailable.reason());
        }
        line.write();
    }

    void responseMemoryUsedUp(TargetHandle handle) {
        mLog.info("response memory used up")
                .text("request", mMetadata.requestId())
                .text("target", handle.id())
                .write();
    }

    void turnTooLong(int maxOutputBytes) {
        mLog.info("turn too long")
                .text("turn", mMetadata.requestId())
                .number("maxOutputBytes", maxOutputBytes)
                .write();
    }

    void turnKept(KeepResult result, long durationNanos) {
        String outcome =
                switch (result) {
                    case KeepResult.Kept kept ->
                            kept.receipt().writer() == StoreReceipt.Writer.PEER
                                    ? "stored by a peer"
                                    : "stored";
                    case KeepResult.NotKept notKept -> "not kept";
                };
        mMetrics.recordKept(outcome, durationNanos);
        var line =
                mLog.info("turn kept")
                        .text("turn", mMetadata.requestId())
                        .text("outcome", outcome)
                        .number("durationMs", TimeUnit.NANOSECONDS.toMillis(durationNanos));
        if (result instanceof KeepResult.NotKept notKept) {
            line.text("reason", notKept.reason());
        }
        line.write();
    }

    void answered(Summary summary) {
        var line =
                mLog.info("answered")
                        .text("request", mMetadata.requestId())
                        .text("route", mRoute.name())
                        .text("result", summary.result())
                        .text("reason", summary.reason())
                        .number("configVersion", summary.configVersion())
                        .number(
                                "durationMs",
                                TimeUnit.NANOSECONDS.toMillis(summary.durationNanos()))
                        .number("sends", summary.sends())
                        .number("refusals", summary.refusals());
        mForwardedHead.ifPresent(
                head -> line.number("status", head.status()).text("target", head.targetId()));
        if (!mMetadata.scope().name().isEmpty()) {
            line.text("organisation", mMetadata.scope().name());
        }
        mPredictedMillis.ifPresent(
                predictedMillis -> writePrediction(line, summary, predictedMillis));
        // For a call that was never placed, no other log line names the program.
        mMetadata.program().ifPresent(program -> line.text("program", program.programId()));
        if (mRoute.kind() == RequestKind.STREAMING) {
            StreamProgress progress = summary.progress();
            line.number("firstEventMs", progress.firstEventMillis(summary.firstByteNanos()))
                    .number("longestGapMs", progress.longestGapMillis())
                    .number("events", progress.eventCount())
                    .number(
                            "reservedTokens",
                            summary.reservation().map(SpendingResult.Reserved::tokens).orElse(0L))
                    .flag(
                            "outageAllowance",
                            summary.reservation()
                                    .map(SpendingResult.Reserved::fromAllowance)
                                    .orElse(false));
        }
        line.write();
    }

    // Only a complete response shows the time that was predicted.
    private void writePrediction(EventLog.Line line, Summary summary, double predictedMillis) {
        double actualMillis = (System.nanoTime() - mSentNanos) / NANOS_PER_MILLI;
        line.decimal("predictedMs", predictedMillis).decimal("actualMs", actualMillis);
        if (summary.result().equals(OK)) {
            mMetrics.recordPrediction(mRoute.kind(), predictedMillis, actualMillis);
        }
    }
}
