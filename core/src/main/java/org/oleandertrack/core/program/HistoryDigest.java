package org.oleandertrack.core.program;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest chain of a program's history. The digest of a turn covers its record and the digest of the
 * previous turn, so a missing, replaced or moved record is detected.
 */
public final class HistoryDigest {

    /** Digest of an empty history. */
    public static final String EMPTY = "";

    private HistoryDigest() {}

    /**
     * Returns the digest of a history after a record is appended.
     *
     * @param previousDigest digest of the history before the record
     * @param record the appended record
     * @return 64 hexadecimal digits
     */
    public static String next(String previousDigest, byte[] record) {
        MessageDigest digest = sha256();
        digest.update(previousDigest.getBytes(StandardCharsets.US_ASCII));
        return HexFormat.of().formatHex(digest.digest(record));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
        }
    }
}
