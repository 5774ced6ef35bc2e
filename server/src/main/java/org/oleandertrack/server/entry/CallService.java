package org.oleandertrack.server.entry;

/** Runs calls, here or at the entry host that is responsible. Blocks the calling thread. */
interface CallService {

    /**
     * Runs a call and passes its answer to the sink.
     *
     * @throws org.oleandertrack.core.result.ResultException if the call is refused or fails; the
     *     sink's end was not called then
     */
    void run(CallerRequest request, ResponseSink sink);
}
