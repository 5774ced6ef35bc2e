package org.oleandertrack.server.cli;

/** A long-running server process: an entry host or a sidecar. */
public interface Daemon {

    /**
     * Binds the listeners and begins to accept calls. Called once.
     *
     * @throws Exception if the daemon cannot start; {@link #stop()} is called in this case as well
     */
    void start() throws Exception;

    /**
     * Refuses new calls, waits for the calls in flight and releases all resources. Called once,
     * possibly from another thread while {@link #start()} runs. Returns when the daemon has
     * stopped.
     */
    void stop();
}
