package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import org.oleandertrack.standins.http.Json;

/** Copies the visible list of hosts to the table {@code hosts}. Thread-safe. */
final class HostTable {

    private static final String TABLE = "hosts";

    private final RowTables mTables;
    private final HostRegistry mRegistry;
    private JsonNode mWrittenHosts = Json.array();

    HostTable(RowTables tables, HostRegistry hosts) {
        mTables = tables;
        mRegistry = hosts;
    }

    /** Replaces the list of hosts; the change becomes visible after the lag. */
    void replaceHosts(JsonNode hosts, long lagMillis) {
        mRegistry.replaceHosts(hosts, lagMillis);
    }

    /** Updates the table if the visible list has changed. */
    synchronized void updateTable() {
        JsonNode visible = mRegistry.visibleHosts();
        if (visible.equals(mWrittenHosts)) {
            return;
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (JsonNode host : visible) {
            values.put(
                    host.path("hostId").asText(),
                    Base64.getEncoder().encodeToString(Json.bytes(host)));
        }
        mTables.replaceTable(TABLE, values);
        mWrittenHosts = visible;
    }
}
