package org.oleandertrack.core.turn;

import java.util.Collection;
import java.util.Optional;

/**
 * Agrees on one engine for each program without messages: all hosts rank the engines by a hash of
 * program and engine. The turns of a program arrive at several hosts, and a host that restarts
 * knows nothing of where a program's earlier turns ran.
 */
final class HomeTarget {

    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private HomeTarget() {}

    /** Returns the engine with the highest rank for a program; empty if there are no engines. */
    static Optional<String> of(String programId, Collection<TargetState> engines) {
        String home = null;
        long highest = Long.MIN_VALUE;
        for (TargetState engine : engines) {
            long rank = mix(programId.hashCode() * MULTIPLIER + engine.id().hashCode());
            if (home == null || rank > highest) {
                home = engine.id();
                highest = rank;
            }
        }
        return Optional.ofNullable(home);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 27)) * MULTIPLIER;
        return mixed ^ (mixed >>> 31);
    }
}
