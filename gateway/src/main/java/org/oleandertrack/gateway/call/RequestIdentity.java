package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.oleandertrack.core.organisation.IdScope;
import org.oleandertrack.http.InboundRequest;

/**
 * What a request asks a target to do, as keys that are the same whenever a caller repeats it, at
 * any host and whatever the request's id.
 */
final class RequestIdentity {

    private static final int DIGEST_BYTES = 16;
    private static final byte SEPARATOR = 0;
    private static final String CONTENT_PREFIX = "request-";
    private static final String PATH_PREFIX = "path-";

    private RequestIdentity() {}

    /** Returns method, host and path of a request as text that is unique among organisations. */
    static String pathOf(InboundRequest request, IdScope scope) {
        return scope.memoryId(
                request.head().method()
                        + " "
                        + request.head().headers().get(HttpHeaderNames.HOST, "")
                        + request.head().uri());
    }

    /** Returns the key of all requests with a path of {@link #pathOf}. */
    static String pathKeyOf(String path) {
        MessageDigest digest = newDigest();
        add(digest, path);
        return PATH_PREFIX + format(digest);
    }

    /**
     * Returns the key of all requests with the same path and body from one organisation. Requests
     * without a body are told apart by the address of their caller too, because many callers share
     * their paths.
     *
     * @param metadata states the turn that the request continues, whose content belongs to it, and
     *     the scope of its caller
     */
    static String contentKeyOf(InboundRequest request, CallMetadata metadata) {
        MessageDigest digest = newDigest();
        add(digest, pathOf(request, metadata.scope()));
        add(digest, metadata.previousTurnId().orElse(""));
        if (request.body().isReadable()) {
            digest.update(request.body().nioBuffer());
        } else {
            add(digest, request.remote().getAddress().getHostAddress());
        }
        return CONTENT_PREFIX + format(digest);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }

    private static String format(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    }
}
