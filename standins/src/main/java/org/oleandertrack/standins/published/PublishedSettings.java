package org.oleandertrack.standins.published;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The settings file that the platform writes for a gateway process.
 *
 * @param node node name of the process
 * @param address loopback address on which the process listens
 * @param peers addresses of all gateway processes
 * @param storePort port of the store on 127.0.0.1
 */
public record PublishedSettings(String node, String address, List<String> peers, int storePort) {

    /** Environment variable that holds the path of the file. */
    public static final String PATH_VARIABLE = "OLEANDERTRACK_CONFIG";

    /** Port for requests of callers. */
    public static final int CALLER_PORT = 8149;

    /** Port of the readiness check. */
    public static final int READINESS_PORT = 8141;

    private static final int PEER_PORT = 8144;

    /** Returns the content of the file. */
    public String toToml() {
        String seeds =
                peers.stream()
                        .map(peer -> "\"" + peer + ":" + PEER_PORT + "\"")
                        .collect(Collectors.joining(","));
        return """
                node_name = "%s"
                ip_address = "%s"
                zone = "zone"
                seeds = [%s]
                [listen]
                front = "%s:%d"
                ready_addr = "%s:%d"
                control = "%s:%d"
                [bounds]
                grace_period_s = 8
                [platform]
                address = "127.0.0.1:%d"
                """
                .formatted(
                        node,
                        address,
                        seeds,
                        address,
                        CALLER_PORT,
                        address,
                        READINESS_PORT,
                        address,
                        PEER_PORT,
                        storePort);
    }
}
