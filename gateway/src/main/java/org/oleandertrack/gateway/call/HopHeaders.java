package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Copies headers from one connection to another, without those that concern only the first. */
final class HopHeaders {

    private static final Set<String> SINGLE_HOP =
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

    private HopHeaders() {}

    /** Copies the headers. Lengths and encodings are left out; the sender sets its own. */
    static void copy(HttpHeaders from, HttpHeaders to) {
        Set<String> named = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim());
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!named.contains(name) && !SINGLE_HOP.contains(name.toLowerCase(Locale.ROOT))) {
                to.add(name, header.getValue());
            }
        }
    }
}
