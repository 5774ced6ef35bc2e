package org.oleandertrack.bench;

import java.util.function.Consumer;

/** Sends calls to targets. */
@FunctionalInterface
interface Dispatcher {

    /** Sends a call. The callback {@code done} receives its final outcome, once. */
    void dispatch(Call call, Consumer<Attempt.Outcome> done);
}
