package org.oleandertrack.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of response heads that the decoder, which is lenient, does not make. */
final class ResponseHeads {

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[0-9]{3}");

    private ResponseHeads() {}

    /** Returns whether a head can be the head of one response. */
    static boolean isValid(HttpResponse head) {
        return !containsStatusLine(head);
    }

    // If a response is cut off within its head, the decoder reads the next one as a part of it.
    private static boolean containsStatusLine(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
