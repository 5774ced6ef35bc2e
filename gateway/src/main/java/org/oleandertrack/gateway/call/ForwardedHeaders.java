package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Copies the headers of a message that is forwarded, without hop-by-hop headers. */
final class ForwardedHeaders {

    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private ForwardedHeaders() {}

    /**
     * Copies the headers except hop-by-hop ones, those listed in the Connection header, and Expect
     * and Content-Length, which the code that forwards the message handles itself.
     */
    static void copy(HttpHeaders from, HttpHeaders to) {
        Set<String> listedInConnection = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                listedInConnection.add(name.trim());
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!listedInConnection.contains(name)
                    && !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
                to.add(name, header.getValue());
            }
        }
    }
}
