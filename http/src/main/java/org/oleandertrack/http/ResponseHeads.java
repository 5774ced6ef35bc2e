package org.oleandertrack.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of response heads that the decoder, which is lenient, does not make. */
final class ResponseHeads {

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[0-9]{3}");

    private static final int STATUS_DIGITS = 3;

    private ResponseHeads() {}

    /**
     * Checks the status as it was received. The decoder parses it as an integer, which may have a
     * sign or leading zeros.
     *
     * @throws IllegalArgumentException if it does not consist of three digits
     */
    static void checkStatus(String status) {
        boolean isValid =
                status.length() == STATUS_DIGITS
                        && status.chars()
                                .allMatch(character -> character >= '0' && character <= '9');
        if (!isValid) {
            throw new IllegalArgumentException("'" + status + "' is not a status");
        }
    }

    /** Returns whether a head can be the head of one HTTP/1.x response. */
    static boolean isValid(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        boolean isKnownVersion =
                version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
        int status = head.status().code();
        // No request asks for a switch of protocols, and after it the connection has no responses.
        return isKnownVersion
                && status >= MIN_STATUS
                && status <= MAX_STATUS
                && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code()
                && !containsStatusLine(head);
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
