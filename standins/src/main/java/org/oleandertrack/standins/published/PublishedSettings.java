package org.oleandertrack.standins.published;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The settings file that the platform writes for a process.
 *
 * @param node name of the process
 * @param address the process's own loopback address
 * @param peers addresses of all processes
 * @param storePort port of the store on 127.0.0.1
 */
public record PublishedSettings(String node, String address, List<String> peers, int storePort) {

    /** Variable that holds the path of the file. */
    public static final String VARIABLE = "OLEANDERTRACK_CONFIG";

    /** Port on which callers are served. */
    public static final int CALLERS = 8149;

    /** Port on which readiness is asked. */
    public static final int READINESS = 8141;

    private static final int PEERS = 8144;

    /** Returns the text of the file. */
    public String toToml() {
        String seeds =
                peers.stream()
                        .map(peer -> "\"" + peer + ":" + PEERS + "\"")
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
                        node, address, seeds, address, CALLERS, address, READINESS, address, PEERS,
                        storePort);
    }
}
