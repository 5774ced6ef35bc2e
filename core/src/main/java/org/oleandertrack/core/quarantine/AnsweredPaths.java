package org.oleandertrack.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Paths whose requests targets have answered lately. A crash under such a path says nothing about
 * its other requests. Thread-safe.
 */
public final class AnsweredPaths {

    private final Map<String, Boolean> mPaths;

    /** Creates an empty collection that keeps the given number of most recently answered paths. */
    public AnsweredPaths(int capacity) {
        mPaths =
                new LinkedHashMap<>(capacity, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Records that a target has answered a request of a path. */
    public synchronized void add(String path) {
        mPaths.put(path, true);
    }

    /** Returns whether a target has answered a request of a path. */
    public synchronized boolean contains(String path) {
        return mPaths.containsKey(path);
    }
}
