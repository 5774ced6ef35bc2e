package org.oleandertrack.coordination.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.result.Execution;

/** In-memory table store and object store on the virtual clock, with injected faults. */
public final class FakeStore {

    private final VirtualTime mTime;
    private final Random mRandom;
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private boolean mDown;
    private long mMaxLatencyNanos = 20 * VirtualTime.MILLI;
    private double mLostReplyShare;
    private double mLateWriteShare;
    private int mTransactions;

    public FakeStore(VirtualTime time) {
        mTime = time;
        mRandom = new Random(time.random().nextLong());
    }

    // Faults.

    public void setDown(boolean down) {
        mDown = down;
    }

    /** Sets the largest latency of each direction of a request. */
    public void setMaxLatencyNanos(long nanos) {
        mMaxLatencyNanos = nanos;
    }

    /** Sets the share of writes that take effect but whose futures fail. */
    public void setLostReplyShare(double share) {
        mLostReplyShare = share;
    }

    /** Sets the share of writes that take effect later, mostly after their futures have failed. */
    public void setLateWriteShare(double share) {
        mLateWriteShare = share;
    }

    public void healFaults() {
        mDown = false;
        mMaxLatencyNanos = 20 * VirtualTime.MILLI;
        mLostReplyShare = 0;
        mLateWriteShare = 0;
    }

    // Direct access for checks.

    public Optional<Row> row(String key) {
        return Optional.ofNullable(mRows.get(key));
    }

    public List<Row> rows(String prefix) {
        return List.copyOf(mRows.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    public Optional<byte[]> object(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    public int transactions() {
        return mTransactions;
    }

    public void overwrite(String key, String value) {
        apply(new ConditionalWrite(key, version(key), Optional.of(value)));
    }

    // Views.

    /** Access of one process to the store. */
    public final class View implements TableStore {
        private final VirtualNode mNode;
        private boolean mCutOff;
        private boolean mSilent;

        private View(VirtualNode node) {
            mNode = node;
        }

        public void setCutOff(boolean cutOff) {
            mCutOff = cutOff;
        }

        /** Sets whether replies are dropped, so that requests are never answered. */
        public void setSilent(boolean silent) {
            mSilent = silent;
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
            return request(
                    false,
                    () ->
                            mRows
                                    .tailMap(
                                            afterKey.compareTo(prefix) > 0 ? afterKey : prefix,
                                            true)
                                    .values()
                                    .stream()
                                    .filter(row -> row.key().compareTo(afterKey) > 0)
                                    .takeWhile(row -> row.key().startsWith(prefix))
                                    .limit(limit)
                                    .toList());
        }

        @Override
        public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
            return request(
                    true,
                    () -> {
                        mTransactions++;
                        List<WriteOutcome> outcomes = new ArrayList<>();
                        writes.forEach(write -> outcomes.add(apply(write)));
                        return outcomes;
                    });
        }

        @Override
        public CompletableFuture<Optional<Row>> get(String key) {
            return request(false, () -> row(key));
        }

        public ObjectStore objects() {
            return new ObjectStore() {
                @Override
                public CompletableFuture<Void> put(String key, byte[] data) {
                    return request(true, () -> putObject(key, data));
                }

                @Override
                public CompletableFuture<Optional<byte[]>> get(String key) {
                    return request(false, () -> object(key));
                }

                @Override
                public CompletableFuture<Void> delete(String key) {
                    throw new UnsupportedOperationException();
                }
            };
        }

        private <T> CompletableFuture<T> request(boolean write, Supplier<T> effect) {
            return FakeStore.this.request(this, write, effect);
        }
    }

    public View view(VirtualNode node) {
        return new View(node);
    }

    // Helpers.

    private <T> CompletableFuture<T> request(View view, boolean write, Supplier<T> effect) {
        CompletableFuture<T> reply = new CompletableFuture<>();
        var _ = mTime.schedule(randomLatencyNanos(), () -> arrive(view, write, effect, reply));
        return reply;
    }

    private <T> void arrive(
            View view, boolean write, Supplier<T> effect, CompletableFuture<T> reply) {
        if (mDown || view.mCutOff) {
            Execution execution = mRandom.nextBoolean() ? Execution.NOT_RUN : Execution.UNKNOWN;
            answer(view, () -> fail(reply, execution));
        } else if (write && mRandom.nextDouble() < mLateWriteShare) {
            var _ = mTime.schedule(randomLatencyNanos() + randomLatencyNanos(), () -> run(effect));
            answer(view, () -> fail(reply, Execution.UNKNOWN));
        } else if (write && mRandom.nextDouble() < mLostReplyShare) {
            run(effect);
            answer(view, () -> fail(reply, Execution.UNKNOWN));
        } else {
            T value = effect.get();
            answer(view, () -> reply.complete(value));
        }
    }

    private static void run(Supplier<?> effect) {
        var _ = effect.get();
    }

    private void answer(View view, Runnable reply) {
        if (!view.mSilent) {
            var _ = view.mNode.schedule(randomLatencyNanos(), reply);
        }
    }

    private static void fail(CompletableFuture<?> reply, Execution execution) {
        reply.completeExceptionally(new StoreException(execution, "injected fault", null));
    }

    private long randomLatencyNanos() {
        return mRandom.nextLong(mMaxLatencyNanos) + 1;
    }

    private long version(String key) {
        return mRows.containsKey(key) ? mVersions.get(key) : 0;
    }

    private WriteOutcome apply(ConditionalWrite write) {
        long current = version(write.key());
        if (current != write.expectedVersion()) {
            return new WriteOutcome.Conflict(current);
        }
        if (write.value().isEmpty()) {
            mRows.remove(write.key());
            return new WriteOutcome.Applied(0);
        }
        mVersions.put(write.key(), current + 1);
        mRows.put(write.key(), new Row(write.key(), current + 1, write.value().get()));
        return new WriteOutcome.Applied(current + 1);
    }

    private Void putObject(String key, byte[] data) {
        mObjects.put(key, data);
        return null;
    }
}
