package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import org.oleandertrack.standins.http.Json;

/** Writes the list of hosts, as far as it is visible, into the table of hosts. Thread-safe. */
final class HostTable {

    private static final String TABLE = "hosts";

    private final RowTables mTables;
    private final HostRegistry mHosts;
    private JsonNode mWritten = Json.array();

    HostTable(RowTables tables, HostRegistry hosts) {
        mTables = tables;
        mHosts = hosts;
    }

    /** Replaces the list after a lag. */
    void replace(JsonNode hosts, long lagMillis) {
        mHosts.replace(hosts, lagMillis);
    }

    /** Brings the table up to date with the list. */
    synchronized void update() {
        JsonNode visible = mHosts.visible();
        if (visible.equals(mWritten)) {
            return;
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (JsonNode host : visible) {
            values.put(
                    host.path("hostId").asText(),
                    Base64.getEncoder().encodeToString(Json.bytes(host)));
        }
        mTables.replaceTable(TABLE, values);
        mWritten = visible;
    }
}
