package org.oleandertrack.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;

/** The programs of which this host has seen a turn most recently. Thread-safe. */
public final class RecentPrograms {

    private final Map<String, Boolean> mIds;

    /** Creates an instance that remembers the given number of programs. */
    public RecentPrograms(int capacity) {
        mIds =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Remembers a program and returns whether it was known before. */
    public synchronized boolean add(String programId) {
        return mIds.put(programId, Boolean.TRUE) != null;
    }
}
