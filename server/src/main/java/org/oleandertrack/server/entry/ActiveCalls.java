package org.oleandertrack.server.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.ResultException;

/**
 * The calls that run in this process and its latest refused or failed calls, as shown to operators.
 * Thread safe.
 */
final class ActiveCalls {

    private static final int MAX_REFUSALS = 1_000;

    /**
     * A call that was refused or failed.
     *
     * @param failedAtNanos time of the failure on the local monotonic clock
     */
    record Refusal(CallerRequest request, ResultException failure, long failedAtNanos) {}

    private final LongSupplier mNanoClock;
    private final Set<ActiveCall> mCalls = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Refusal> mRefusals = new ArrayDeque<>();

    ActiveCalls(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
    }

    // Operations

    ActiveCall begin(CallerRequest request) {
        ActiveCall call = new ActiveCall(request, mNanoClock.getAsLong());
        mCalls.add(call);
        return call;
    }

    void end(ActiveCall call) {
        mCalls.remove(call);
    }

    void recordRefusal(CallerRequest request, ResultException failure) {
        synchronized (mRefusals) {
            mRefusals.addFirst(new Refusal(request, failure, mNanoClock.getAsLong()));
            if (mRefusals.size() > MAX_REFUSALS) {
                mRefusals.removeLast();
            }
        }
    }

    // Accessors

    Collection<ActiveCall> calls() {
        return List.copyOf(mCalls);
    }

    /** Returns the latest refused or failed calls, newest first. */
    List<Refusal> refusals() {
        synchronized (mRefusals) {
            return new ArrayList<>(mRefusals);
        }
    }
}
