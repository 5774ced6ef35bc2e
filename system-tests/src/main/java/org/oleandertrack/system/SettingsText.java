package org.oleandertrack.system;

import java.net.URI;

/** Writes settings files for processes on loopback with free ports. */
final class SettingsText {

    private SettingsText() {}

    static String sidecar(
            String node, String zone, LocalDeployment.TargetSpec target, URI targetUrl) {
        String offer =
                target.models().isEmpty()
                        ? "kind = \"service\"\nservice = \"" + target.service() + "\""
                        : "kind = \"model\"\nmodels = [\""
                                + target.models().replace(",", "\", \"")
                                + "\"]\nreleasesCache = true";
        return """
        node = "%s"
        zone = "%s"

        [http]
        address = "127.0.0.1"
        adminPort = 0

        [peer]
        address = "127.0.0.1"
        port = 0

        [target]
        name = "%s"
        url = "%s"
        %s
        """
                .formatted(node, zone, target.name(), targetUrl, offer);
    }

    static String entry(String node, String zone, URI platform) {
        return """
        node = "%s"
        zone = "%s"

        [http]
        address = "127.0.0.1"
        port = 0
        adminPort = 0

        [peer]
        address = "127.0.0.1"
        port = 0

        [platform]
        tableUrl = "%s"
        objectUrl = "%s"
        hostsUrl = "%s"
        hostsPollMillis = 200
        """
                .formatted(node, zone, platform, platform, platform);
    }
}
