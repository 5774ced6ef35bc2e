package org.oleandertrack.coordination.store;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Keys of rows for ids that callers choose. */
public final class RowKeys {

    // Keys of the store have at most 200 bytes, and a table may append to the key of an id.
    private static final int MAX_PLAIN_ID_LENGTH = 120;

    private RowKeys() {}

    /**
     * Returns the id itself or, if it is long or has other than printable ASCII, a digest of it.
     */
    public static String ofId(String id) {
        boolean plain =
                id.length() <= MAX_PLAIN_ID_LENGTH
                        && id.chars().allMatch(character -> character > ' ' && character < 127);
        return plain ? id : "sha256:" + sha256(id);
    }

    private static String sha256(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime provides SHA-256", e);
        }
    }
}
