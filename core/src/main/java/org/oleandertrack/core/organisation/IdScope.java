package org.oleandertrack.core.organisation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Keeps the ids that callers of one organisation choose apart from those of all others. Where the
 * configuration has no organisations, ids are used as they are. Immutable.
 */
public final class IdScope {

    /** Scope of all callers where the configuration has no organisations. */
    public static final IdScope NONE = new IdScope("", false);

    private static final String STORED_PREFIX = "o-";
    // Neither an HTTP header nor the name of an organisation can contain it, so no caller can
    // choose an id that equals a scoped one.
    private static final char SEPARATOR = '\n';

    private final String mName;
    private final boolean mScoped;

    private IdScope(String name, boolean scoped) {
        mName = name;
        mScoped = scoped;
    }

    /**
     * Returns the scope of a caller. Anonymous callers have a scope too, because they could
     * otherwise choose the id of a row that belongs to an organisation.
     */
    public static IdScope of(CallerIdentity identity) {
        return switch (identity) {
            case CallerIdentity.Unchecked unchecked -> NONE;
            case CallerIdentity.Anonymous anonymous -> new IdScope("", true);
            case CallerIdentity.Member member -> new IdScope(member.organisation().name(), true);
        };
    }

    /** Returns the name of the organisation; the empty string if there is none. */
    public String name() {
        return mName;
    }

    /**
     * Returns the id under which state is kept in the store and at peers. A scoped id is a digest,
     * because the store limits the length of keys.
     */
    public String storedId(String id) {
        if (!mScoped) {
            return id;
        }
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(memoryId(id).getBytes(StandardCharsets.UTF_8));
            return STORED_PREFIX + HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime provides SHA-256", e);
        }
    }

    /** Returns the id under which state is kept only in the memory of this host. */
    public String memoryId(String id) {
        return mScoped ? mName + SEPARATOR + id : id;
    }
}
