package org.oleandertrack.server.cli;

/** A long-running process role. */
public interface Daemon {

    /**
     * Binds the listeners and begins to take work. Called once.
     *
     * @throws Exception if the daemon cannot run; {@link #stop()} is called then, too
     */
    void start() throws Exception;

    /**
     * Finishes the calls in flight, takes no new ones and frees what is held. Called once, possibly
     * from another thread while {@link #start()} runs. Returns when the stop is complete.
     */
    void stop();
}
