package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.oleandertrack.http.InboundRequest;

/**
 * Digest of what a request asks a target to do. It is the same for all requests in which a caller
 * repeats it, at any host, whatever their ids. Requests without a body are told apart by the
 * address of their caller too, because many callers share their paths.
 */
final class RequestContent {

    private static final int DIGEST_BYTES = 16;
    private static final byte SEPARATOR = 0;

    private RequestContent() {}

    /**
     * Returns the digest as hexadecimal digits.
     *
     * @param previousTurnId id of the turn that the request continues, whose content belongs to it
     */
    static String digestOf(InboundRequest request, Optional<String> previousTurnId) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
        add(digest, request.head().method().name());
        add(digest, request.head().headers().get(HttpHeaderNames.HOST, ""));
        add(digest, request.head().uri());
        add(digest, previousTurnId.orElse(""));
        if (request.body().isReadable()) {
            digest.update(ByteBufUtil.getBytes(request.body()));
        } else {
            add(digest, request.remote().getAddress().getHostAddress());
        }
        return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    }

    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }
}
