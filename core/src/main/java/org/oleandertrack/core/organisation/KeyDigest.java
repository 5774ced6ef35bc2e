package org.oleandertrack.core.organisation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of an access key. Keys are kept and compared as digests only, so that neither a
 * memory dump nor a log line can reveal one. Immutable.
 *
 * @param hex the digest in lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {

    /** Returns the digest of a key. */
    public static KeyDigest ofKey(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime provides SHA-256", e);
        }
    }
}
