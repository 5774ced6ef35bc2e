package org.oleandertrack.bench;

import org.oleandertrack.core.placement.LoadReport;

/** A fake engine with the queue in front of it. */
interface Target {

    /** Takes an attempt; it starts when the queue says so. */
    void submit(Attempt attempt);

    /** Cancels an attempt, whether it waits or runs. Its listener is not called. */
    void cancel(Attempt attempt);

    /** Returns the load as the queue reports it. */
    LoadReport load();

    /** Returns the engine. */
    Engine engine();
}
