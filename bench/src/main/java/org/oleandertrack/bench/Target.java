package org.oleandertrack.bench;

import org.oleandertrack.core.placement.LoadReport;

/** A simulated target: a queue of attempts and the {@link Engine} that runs them. */
interface Target {

    /** Adds an attempt to the queue, which decides when it starts. */
    void submit(Attempt attempt);

    /** Cancels a waiting or running attempt. The listener of the attempt is not called. */
    void cancel(Attempt attempt);

    /** Returns the current load: running attempts, queued attempts and queued work. */
    LoadReport load();

    /** Returns the engine that runs the attempts of this target. */
    Engine engine();
}
