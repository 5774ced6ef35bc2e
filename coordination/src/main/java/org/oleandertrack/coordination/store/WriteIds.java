package org.oleandertrack.coordination.store;

import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Makes ids for row values, so that a writer recognises its own write. The random part is drawn
 * once per process; 64 bits keep two processes apart. Thread safe.
 */
public final class WriteIds {

    private final String mPrefix;
    private final AtomicLong mSequence = new AtomicLong();

    /** Creates a source of ids with a prefix drawn from the generator. */
    public WriteIds(RandomGenerator random) {
        mPrefix = Long.toString(random.nextLong(), Character.MAX_RADIX) + ".";
    }

    /** Returns an id that no other write has. */
    public String next() {
        return mPrefix + Long.toString(mSequence.getAndIncrement(), Character.MAX_RADIX);
    }
}
