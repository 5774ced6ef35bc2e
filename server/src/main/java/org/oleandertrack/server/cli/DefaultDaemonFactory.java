package org.oleandertrack.server.cli;

import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;

/** The daemons of the product. */
final class DefaultDaemonFactory implements DaemonFactory {

    @Override
    public Daemon entry(EntrySettings settings) {
        throw new UnsupportedOperationException("the entry daemon is not part of this build");
    }

    @Override
    public Daemon sidecar(SidecarSettings settings) {
        throw new UnsupportedOperationException("the sidecar daemon is not part of this build");
    }
}
