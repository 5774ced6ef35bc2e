package org.oleandertrack.server.cli;

import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;

/** Creates the daemons from their settings, without starting them. */
public interface DaemonFactory {

    Daemon entry(EntrySettings settings);

    Daemon sidecar(SidecarSettings settings);
}
