package org.oleandertrack.coordination.store;

import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Generates ids that make row values unique, so that a writer recognises its own write when it
 * reads the row. The random part is drawn once per instance; its 64 bits distinguish the instances
 * of all processes. Thread safe.
 */
public final class WriteIds {

    private final String mPrefix;
    private final AtomicLong mSequence = new AtomicLong();

    /** Creates a generator of ids with a prefix drawn from a random generator. */
    public WriteIds(RandomGenerator random) {
        mPrefix = Long.toString(random.nextLong(), Character.MAX_RADIX) + ".";
    }

    /** Returns an id that no other write has. */
    public String next() {
        return mPrefix + Long.toString(mSequence.getAndIncrement(), Character.MAX_RADIX);
    }
}
