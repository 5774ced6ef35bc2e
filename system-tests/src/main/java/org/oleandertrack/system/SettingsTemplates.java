package org.oleandertrack.system;

import java.net.URI;

/** Creates the TOML settings of daemons that listen on loopback, on free ports. */
final class SettingsTemplates {

    private SettingsTemplates() {}

    static String sidecarToml(
            String node, String zone, LocalDeployment.TargetSpec target, URI targetUrl) {
        String targetSettings =
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
                .formatted(node, zone, target.name(), targetUrl, targetSettings);
    }

    static String entryToml(String node, String zone, URI platform) {
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
