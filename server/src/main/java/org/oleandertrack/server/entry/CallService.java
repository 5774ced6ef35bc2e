package org.oleandertrack.server.entry;

/** Runs calls, in this process or at the holder of their shard. Blocks the calling thread. */
interface CallService {

    /**
     * Runs a call and writes its response to the sink.
     *
     * @throws org.oleandertrack.core.result.ResultException if the call is refused or fails; {@link
     *     ResponseSink#end} has not been called in this case
     */
    void run(CallerRequest request, ResponseSink sink);
}
