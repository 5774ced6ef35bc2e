package org.oleandertrack.server.entry;

import com.google.inject.Provider;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.ReleaseMemory;

/**
 * Tells the sidecars of all connected targets to free the engine memory of a program. Thread safe.
 */
final class SidecarMemoryReleaser implements EngineMemoryReleaser {

    private final Provider<HostDirectory> mHosts;

    SidecarMemoryReleaser(Provider<HostDirectory> hosts) {
        mHosts = hosts;
    }

    @Override
    public void release(String organisation, String program) {
        Frame frame =
                Frame.newBuilder()
                        .setReleaseMemory(
                                ReleaseMemory.newBuilder()
                                        .setOrganisation(organisation)
                                        .setProgram(program))
                        .build();
        for (TargetHandle target : mHosts.get().targets()) {
            target.connection().ifPresent(connection -> connection.send(frame));
        }
    }
}
