package org.oleandertrack.core.program;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest chain of a program's history. The digest of a turn covers its record and the digest of its
 * predecessor, so a record cannot be lost, exchanged or moved to another program unnoticed.
 */
public final class HistoryDigest {

    /** Digest of a history without turns. */
    public static final String EMPTY = "";

    private HistoryDigest() {}

    /** Returns the digest of a history that a record extends, as 64 hexadecimal digits. */
    public static String next(String predecessor, byte[] record) {
        MessageDigest digest = sha256();
        digest.update(predecessor.getBytes(StandardCharsets.US_ASCII));
        return HexFormat.of().formatHex(digest.digest(record));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
