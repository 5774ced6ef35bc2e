package org.oleandertrack.core.organisation.limit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.placement.RendezvousHash;

/**
 * Keys of programs, which stand for their ids in messages and in memory, and a bounded set of them
 * that forgets the least recently used ones. Not thread-safe.
 */
public final class ProgramKeys {

    private final LinkedHashMap<Long, Boolean> mKeys = new LinkedHashMap<>(16, 0.75f, true);
    private final int mMaxKeys;

    ProgramKeys(int maxKeys) {
        mMaxKeys = maxKeys;
    }

    /** Returns the key of an organisation's program; ids of other organisations do not matter. */
    public static OptionalLong keyOf(String organisation, Optional<String> programId) {
        return programId.isPresent()
                ? OptionalLong.of(RendezvousHash.score(organisation, programId.get()))
                : OptionalLong.empty();
    }

    boolean contains(long key) {
        return mKeys.get(key) != null;
    }

    void add(long key) {
        mKeys.put(key, Boolean.TRUE);
        if (mKeys.size() > mMaxKeys) {
            mKeys.pollFirstEntry();
        }
    }

    void addAll(List<Long> keys) {
        keys.forEach(this::add);
    }
}
