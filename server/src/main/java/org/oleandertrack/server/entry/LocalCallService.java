package org.oleandertrack.server.entry;

import java.util.function.LongSupplier;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/**
 * Runs calls in this process and records their metrics. Passes each call to one of three services:
 * for turns of programs, for calls that may not be repeated, or for calls without persistent state.
 * Thread safe.
 */
final class LocalCallService implements CallService {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final String SUCCESS_LABEL = "OK";

    private final ActiveCalls mActiveCalls;
    private final CallServices mServices;
    private final MetricsRegistry mMetrics;
    private final LongSupplier mNanoClock;

    /** The services for turns of programs, calls that may not be repeated and all other calls. */
    record CallServices(
            ActiveCallService program,
            ActiveCallService nonRepeatable,
            ActiveCallService stateless) {}

    /** Runs a call that is registered in {@link ActiveCalls}. */
    interface ActiveCallService {

        void run(ActiveCall call, ResponseSink sink);
    }

    LocalCallService(
            ActiveCalls activeCalls,
            CallServices services,
            MetricsRegistry metrics,
            LongSupplier nanoClock) {
        mActiveCalls = activeCalls;
        mServices = services;
        mMetrics = metrics;
        mNanoClock = nanoClock;
    }

    @Override
    public void run(CallerRequest request, ResponseSink sink) {
        ActiveCall call = mActiveCalls.begin(request);
        String resultLabel = SUCCESS_LABEL;
        try {
            serviceFor(request).run(call, sink);
        } catch (ResultException e) {
            resultLabel = e.code().name();
            mActiveCalls.recordRefusal(request, e);
            throw e;
        } catch (RuntimeException e) {
            resultLabel = ResultCode.INTERNAL_ERROR.name();
            throw e;
        } finally {
            mActiveCalls.end(call);
            recordMetrics(call, resultLabel);
        }
    }

    private ActiveCallService serviceFor(CallerRequest request) {
        if (!request.repeatable()) {
            return mServices.nonRepeatable();
        }
        return request.turn() > 0 ? mServices.program() : mServices.stateless();
    }

    private void recordMetrics(ActiveCall call, String resultLabel) {
        String kindLabel = call.request().kind() == CallKind.CALL_KIND_MODEL ? "model" : "service";
        mMetrics.counter(Metric.CALLS).labelValues(kindLabel, resultLabel).inc();
        mMetrics.histogram(Metric.CALL_DURATION)
                .labelValues(kindLabel)
                .observe((mNanoClock.getAsLong() - call.startNanos()) / NANOS_PER_SECOND);
    }
}
