package org.oleandertrack.bench;

import java.util.function.Consumer;

/** Sends a call to a target and reports its end. */
@FunctionalInterface
interface Dispatcher {

    /** Sends a call; {@code done} is called once with its outcome. */
    void dispatch(Call call, Consumer<Attempt.Outcome> done);
}
