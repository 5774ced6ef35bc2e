package org.oleandertrack.coordination.store;

import org.oleandertrack.core.result.Execution;

/** Thrown when the store did not confirm a request. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Execution mExecution;

    /**
     * Creates a failure.
     *
     * @param execution {@code NOT_RUN} if the request certainly has no effect, {@code UNKNOWN} if
     *     it may have taken effect or may still do so
     */
    public StoreException(Execution execution, String message, Throwable cause) {
        super(message, cause);
        mExecution = execution;
    }

    public Execution execution() {
        return mExecution;
    }
}
