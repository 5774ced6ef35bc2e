package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.LongAdder;
import org.oleandertrack.standins.http.Json;

/** Counts requests, rows and objects since the platform stand-in started. Thread-safe. */
final class PlatformStats {

    final LongAdder mRowReads = new LongAdder();
    final LongAdder mScans = new LongAdder();
    final LongAdder mWriteRequests = new LongAdder();
    final LongAdder mRowsWritten = new LongAdder();
    final LongAdder mConflicts = new LongAdder();
    final LongAdder mObjectsPut = new LongAdder();
    final LongAdder mObjectBytesPut = new LongAdder();
    final LongAdder mObjectsRead = new LongAdder();
    final LongAdder mObjectsDeleted = new LongAdder();
    final LongAdder mHostReads = new LongAdder();
    final LongAdder mRequestsFailed = new LongAdder();
    final LongAdder mResponsesDropped = new LongAdder();

    ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("reads", mRowReads.sum() + mScans.sum());
        node.put("rowReads", mRowReads.sum());
        node.put("scans", mScans.sum());
        node.put("writeRequests", mWriteRequests.sum());
        node.put("rowsWritten", mRowsWritten.sum());
        node.put("conflicts", mConflicts.sum());
        node.put("objectsPut", mObjectsPut.sum());
        node.put("objectBytesPut", mObjectBytesPut.sum());
        node.put("objectsRead", mObjectsRead.sum());
        node.put("objectsDeleted", mObjectsDeleted.sum());
        node.put("hostReads", mHostReads.sum());
        node.put("requestsFailed", mRequestsFailed.sum());
        node.put("repliesLost", mResponsesDropped.sum());
        return node;
    }
}
