package org.oleandertrack.coordination.store;

import org.oleandertrack.core.result.Execution;

/** The store did not confirm a request. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Execution mExecution;

    /**
     * Creates a failure.
     *
     * @param execution {@code UNKNOWN} if the request may have taken effect
     */
    public StoreException(Execution execution, String message, Throwable cause) {
        super(message, cause);
        mExecution = execution;
    }

    public Execution execution() {
        return mExecution;
    }
}
