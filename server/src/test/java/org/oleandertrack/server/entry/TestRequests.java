package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.coordination.membership.HostRole;
import org.oleandertrack.protocol.message.CallKind;

/** Creates requests and targets for tests. */
final class TestRequests {

    static final String MODEL = "m";

    private TestRequests() {}

    static CallerRequest modelCall(boolean repeatable, long timeoutMillis) {
        return call(CallKind.CALL_KIND_MODEL, repeatable, timeoutMillis);
    }

    static CallerRequest serviceCall(boolean repeatable, long timeoutMillis) {
        return call(CallKind.CALL_KIND_SERVICE, repeatable, timeoutMillis);
    }

    /** Returns a target that serves {@link #MODEL} and is not connected. */
    static TargetHandle target(String node) {
        return new TargetHandle(
                new HostEntry(
                        node, HostRole.SIDECAR, "zone-a", "127.0.0.1", 1, node, MODEL, "", false));
    }

    private static CallerRequest call(CallKind kind, boolean repeatable, long timeoutMillis) {
        return new CallerRequest(
                kind,
                "org",
                "default",
                Optional.empty(),
                0,
                Optional.empty(),
                timeoutMillis,
                repeatable,
                Optional.of("key"),
                false,
                "POST",
                "/",
                List.of(),
                ByteString.EMPTY,
                false,
                MODEL,
                0);
    }
}
