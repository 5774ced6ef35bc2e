package org.oleandertrack.server.sidecar;

import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.Usage;

/**
 * Follows the calls of programs and frees the engine memory, that is the cached prompt prefixes,
 * that programs no longer need. Thread safe; never blocks.
 */
interface EngineMemoryTracker {

    /** Does nothing; for targets that hold no memory of programs or do not free it on request. */
    EngineMemoryTracker NONE =
            new EngineMemoryTracker() {
                @Override
                public void callStarted(Call head) {}

                @Override
                public void callEnded(Call head, Usage usage) {}

                @Override
                public void release(ReleaseMemory request) {}
            };

    /** Called right before a call is sent to the target. */
    void callStarted(Call head);

    /** Called when a call for which {@link #callStarted} was called succeeds or fails. */
    void callEnded(Call head, Usage usage);

    /** Frees the memory of a program and its sub-agents at the request of an entry host. */
    void release(ReleaseMemory request);
}
