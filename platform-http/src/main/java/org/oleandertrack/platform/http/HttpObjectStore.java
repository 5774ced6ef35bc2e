package org.oleandertrack.platform.http;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.core.result.Execution;

/** The object store over HTTP, as {@code docs/platform-api.md} describes it. Thread safe. */
public final class HttpObjectStore implements ObjectStore {

    private static final int STATUS_NOT_FOUND = 404;

    private final PlatformHttpContext mContext;
    private final URI mBase;

    /** Creates a client of the service at a base address such as {@code http://10.0.0.1:80}. */
    public HttpObjectStore(PlatformHttpContext context, URI base) {
        mContext = context;
        mBase = base;
    }

    @Override
    public CompletableFuture<Void> put(String key, byte[] data) {
        return mContext.send("PUT", uri(key), HttpRequest.BodyPublishers.ofByteArray(data))
                .thenAccept(response -> requireSuccess(key, response));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        return mContext.send("GET", uri(key)).thenApply(response -> body(key, response));
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return mContext.send("DELETE", uri(key))
                .thenAccept(
                        response -> {
                            if (response.statusCode() != STATUS_NOT_FOUND) {
                                requireSuccess(key, response);
                            }
                        });
    }

    private URI uri(String key) {
        return PlatformHttpContext.withQuery(mBase, "/objects", "key", key);
    }

    private static Optional<byte[]> body(String key, HttpResponse<byte[]> response) {
        if (response.statusCode() == STATUS_NOT_FOUND) {
            return Optional.empty();
        }
        requireSuccess(key, response);
        return Optional.of(response.body());
    }

    private static void requireSuccess(String key, HttpResponse<byte[]> response) {
        if (response.statusCode() >= 300) {
            throw new StoreException(
                    Execution.NOT_RUN, "object " + key + ": status " + response.statusCode(), null);
        }
    }
}
