package org.oleandertrack.coordination.store;

import java.util.Optional;

/**
 * A write that applies only if the row still has the expected version.
 *
 * @param key the row's key
 * @param expectedVersion version that the row must have; 0 if it must be absent
 * @param value the new value; empty to delete the row
 */
public record ConditionalWrite(String key, long expectedVersion, Optional<String> value) {

    /** Returns a write that creates an absent row. */
    public static ConditionalWrite create(String key, String value) {
        return new ConditionalWrite(key, 0, Optional.of(value));
    }

    /** Returns a write that replaces a row of the given version. */
    public static ConditionalWrite replace(String key, long expectedVersion, String value) {
        return new ConditionalWrite(key, expectedVersion, Optional.of(value));
    }

    /** Returns a write that deletes a row of the given version. */
    public static ConditionalWrite delete(String key, long expectedVersion) {
        return new ConditionalWrite(key, expectedVersion, Optional.empty());
    }
}
