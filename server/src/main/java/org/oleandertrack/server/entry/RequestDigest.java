package org.oleandertrack.server.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digest by which a repetition of a request is recognised. */
final class RequestDigest {

    private RequestDigest() {}

    /** Returns the SHA-256 digest of method, path and body as 64 hexadecimal digits. */
    static String of(CallerRequest request) {
        MessageDigest digest = sha256();
        digest.update(request.method().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(request.path().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(request.body().asReadOnlyByteBuffer());
        return HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
