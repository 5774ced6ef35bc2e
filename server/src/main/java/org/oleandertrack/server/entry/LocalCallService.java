package org.oleandertrack.server.entry;

import java.util.function.LongSupplier;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/**
 * Runs calls in this process, by their kind: turns of programs, calls that may not be repeated and
 * calls without lasting state. Thread safe.
 */
final class LocalCallService implements CallService {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final String SUCCESS = "OK";

    private final ActiveCalls mActive;
    private final CallHandlers mHandlers;
    private final MetricsRegistry mMetrics;
    private final LongSupplier mNanoClock;

    /** The ways to run a call. Each takes the call and the sink of its answer. */
    record CallHandlers(
            ActiveCallService program, ActiveCallService unrepeatable, ActiveCallService direct) {}

    /** Runs a call that is tracked. */
    interface ActiveCallService {

        void run(ActiveCall call, ResponseSink sink);
    }

    LocalCallService(
            ActiveCalls active,
            CallHandlers handlers,
            MetricsRegistry metrics,
            LongSupplier nanoClock) {
        mActive = active;
        mHandlers = handlers;
        mMetrics = metrics;
        mNanoClock = nanoClock;
    }

    @Override
    public void run(CallerRequest request, ResponseSink sink) {
        ActiveCall call = mActive.begin(request);
        String result = SUCCESS;
        try {
            handler(request).run(call, sink);
        } catch (ResultException e) {
            result = e.code().name();
            mActive.refused(request, e);
            throw e;
        } catch (RuntimeException e) {
            result = ResultCode.INTERNAL_ERROR.name();
            throw e;
        } finally {
            mActive.end(call);
            measure(call, result);
        }
    }

    private ActiveCallService handler(CallerRequest request) {
        if (!request.repeatable()) {
            return mHandlers.unrepeatable();
        }
        return request.turn() > 0 ? mHandlers.program() : mHandlers.direct();
    }

    private void measure(ActiveCall call, String result) {
        String kind = call.request().kind() == CallKind.CALL_KIND_MODEL ? "model" : "service";
        mMetrics.counter(Metric.CALLS).labelValues(kind, result).inc();
        mMetrics.histogram(Metric.CALL_DURATION)
                .labelValues(kind)
                .observe((mNanoClock.getAsLong() - call.startNanos()) / NANOS_PER_SECOND);
    }
}
