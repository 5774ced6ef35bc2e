package org.oleandertrack.server.cli;

import com.google.inject.Guice;
import org.oleandertrack.server.entry.EntryDaemon;
import org.oleandertrack.server.entry.EntryModule;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;
import org.oleandertrack.server.sidecar.SidecarDaemon;
import org.oleandertrack.server.sidecar.SidecarModule;

/** Creates the production daemons with Guice. */
final class DefaultDaemonFactory implements DaemonFactory {

    @Override
    public Daemon createEntry(EntrySettings settings) {
        return Guice.createInjector(new EntryModule(settings)).getInstance(EntryDaemon.class);
    }

    @Override
    public Daemon createSidecar(SidecarSettings settings) {
        return Guice.createInjector(new SidecarModule(settings)).getInstance(SidecarDaemon.class);
    }
}
