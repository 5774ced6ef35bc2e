package org.oleandertrack.standins.load;

import java.net.URI;
import java.nio.charset.StandardCharsets;

/** Produces the bytes of each request by inserting the call number. Immutable. */
final class RequestTemplate {

    private static final String CALL_NUMBER_PLACEHOLDER = "{n}";

    private final String mHead;
    private final String mBody;

    RequestTemplate(LoadOptions options) {
        URI url = options.url();
        String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
        String requestTarget = url.getRawQuery() == null ? path : path + "?" + url.getRawQuery();
        StringBuilder head = new StringBuilder();
        head.append(options.method()).append(' ').append(requestTarget).append(" HTTP/1.1\r\n");
        head.append("Host: ").append(url.getRawAuthority()).append("\r\n");
        options.headers().forEach(header -> head.append(header).append("\r\n"));
        mHead = head.toString().replace("%7Bn%7D", CALL_NUMBER_PLACEHOLDER);
        mBody = options.body();
    }

    byte[] bytes(long callNumber) {
        String number = Long.toString(callNumber);
        byte[] body =
                mBody.replace(CALL_NUMBER_PLACEHOLDER, number).getBytes(StandardCharsets.UTF_8);
        String lengthHeader = "Content-Length: " + body.length + "\r\n\r\n";
        byte[] head =
                (mHead.replace(CALL_NUMBER_PLACEHOLDER, number) + lengthHeader)
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] result = new byte[head.length + body.length];
        System.arraycopy(head, 0, result, 0, head.length);
        System.arraycopy(body, 0, result, head.length, body.length);
        return result;
    }
}
