package org.oleandertrack.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.coordination.membership.HostRole;

/** The host list over HTTP, as {@code docs/platform-api.md} describes it. Thread safe. */
public final class HttpHostList implements HostList {

    private final PlatformHttpContext mContext;
    private final URI mUri;

    /** Creates a client of the service at a base address such as {@code http://10.0.0.1:80}. */
    public HttpHostList(PlatformHttpContext context, URI base) {
        mContext = context;
        mUri = URI.create(base + "/hosts");
    }

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return mContext.send("GET", mUri)
                .thenApply(response -> hosts(mContext.parse(mUri, response.body())));
    }

    private static List<HostEntry> hosts(JsonNode root) {
        List<HostEntry> hosts = new ArrayList<>();
        for (JsonNode node : root.path("hosts")) {
            hosts.add(
                    new HostEntry(
                            node.path("hostId").asText(),
                            HostRole.valueOf(node.path("role").asText()),
                            node.path("zone").asText(),
                            node.path("address").asText(),
                            node.path("port").asInt(),
                            node.path("target").asText(),
                            node.path("models").asText(),
                            node.path("service").asText(),
                            node.path("leaving").asBoolean()));
        }
        return hosts;
    }
}
