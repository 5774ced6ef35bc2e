package org.oleandertrack.coordination.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Futures fail with {@link StoreException}. Thread safe. */
public interface ObjectStore {

    /** Stores an object under a key, replacing an earlier one. */
    CompletableFuture<Void> put(String key, byte[] data);

    /** Reads an object; empty if it is absent. */
    CompletableFuture<Optional<byte[]>> get(String key);

    /** Deletes an object; an absent one is not an error. */
    CompletableFuture<Void> delete(String key);
}
