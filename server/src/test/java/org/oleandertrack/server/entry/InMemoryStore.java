package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteOutcome;

/** In-memory table store and object store that complete at once. Used by one thread. */
final class InMemoryStore implements TableStore {

    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new HashMap<>();

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        return CompletableFuture.completedFuture(Optional.ofNullable(mRows.get(key)));
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        return CompletableFuture.completedFuture(
                mRows.tailMap(afterKey, false).values().stream()
                        .filter(row -> row.key().startsWith(prefix))
                        .limit(limit)
                        .toList());
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        List<WriteOutcome> outcomes = new ArrayList<>();
        for (ConditionalWrite write : writes) {
            outcomes.add(apply(write));
        }
        return CompletableFuture.completedFuture(outcomes);
    }

    ObjectStore objects() {
        return new Objects();
    }

    private WriteOutcome apply(ConditionalWrite write) {
        Row row = mRows.get(write.key());
        long version = row == null ? 0 : row.version();
        if (version != write.expectedVersion()) {
            return new WriteOutcome.Conflict(version);
        }
        if (write.value().isEmpty()) {
            mRows.remove(write.key());
            return new WriteOutcome.Applied(0);
        }
        mRows.put(write.key(), new Row(write.key(), version + 1, write.value().get()));
        return new WriteOutcome.Applied(version + 1);
    }

    private final class Objects implements ObjectStore {

        @Override
        public CompletableFuture<Void> put(String key, byte[] data) {
            mObjects.put(key, data);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Optional<byte[]>> get(String key) {
            return CompletableFuture.completedFuture(Optional.ofNullable(mObjects.get(key)));
        }

        @Override
        public CompletableFuture<Void> delete(String key) {
            mObjects.remove(key);
            return CompletableFuture.completedFuture(null);
        }
    }
}
