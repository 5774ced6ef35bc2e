package org.oleandertrack.server.sidecar;

import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.Usage;

/** Takes what the sidecar learns of the engine memory of programs. Thread safe, never blocks. */
interface EngineMemory {

    /** For targets that hold no memory of programs or do not free it on request. */
    EngineMemory NONE =
            new EngineMemory() {
                @Override
                public void callStarted(Call head) {}

                @Override
                public void callEnded(Call head, Usage usage) {}

                @Override
                public void release(ReleaseMemory order) {}
            };

    /** A call is about to be sent to the target. */
    void callStarted(Call head);

    /** A call that was started has ended, successfully or not. */
    void callEnded(Call head, Usage usage);

    /** An entry host orders that the memory of a program and its sub-agents is freed. */
    void release(ReleaseMemory order);
}
