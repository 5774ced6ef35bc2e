package org.oleandertrack.server.cli;

import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;

/** Creates daemons from their settings without starting them. */
public interface DaemonFactory {

    Daemon createEntry(EntrySettings settings);

    Daemon createSidecar(SidecarSettings settings);
}
