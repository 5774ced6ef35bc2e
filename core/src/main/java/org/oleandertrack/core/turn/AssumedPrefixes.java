package org.oleandertrack.core.turn;

import java.util.Collection;
import java.util.Set;

/**
 * Where a prompt's parts are likely to be kept beyond what this host knows: its first part at a
 * group of engines, and the program's earlier turns at one of them, its home, unless this host
 * knows another engine that has read them. Immutable.
 */
final class AssumedPrefixes {

    // A turn's prompt repeats the earlier turns and adds to them; on average this part is new.
    private static final double HOME_UNREAD_PART = 0.4;

    private final TurnRequest mTurn;
    private final Set<String> mGroup;
    private final String mHome;

    private AssumedPrefixes(TurnRequest turn, Set<String> group, String home) {
        mTurn = turn;
        mGroup = group;
        mHome = home;
    }

    /** Works out the assumption for a turn. */
    static AssumedPrefixes of(TurnRequest turn, Collection<TargetState> engines) {
        if (turn.parts().isEmpty() || turn.programId().isEmpty()) {
            return new AssumedPrefixes(turn, Set.of(), "");
        }
        Set<String> group = HomeTarget.groupOf(turn.parts().getFirst().id(), engines);
        boolean known = engines.stream().anyMatch(engine -> engine.prefixes().knowsLastPart(turn));
        return new AssumedPrefixes(
                turn, group, known ? "" : HomeTarget.of(turn.programId(), group));
    }

    /** Returns whether an engine is the one to which all hosts send the program's first turn. */
    boolean isHome(TargetState engine) {
        return engine.id().equals(mHome);
    }

    /** Returns the tokens that an engine would have to read. */
    int missingTokens(TargetState engine) {
        int missing = engine.prefixes().missingTokens(mTurn);
        if (!mGroup.contains(engine.id())) {
            return missing;
        }
        int afterFirst = mTurn.promptTokens() - mTurn.parts().getFirst().tokens();
        double unread = isHome(engine) ? afterFirst * HOME_UNREAD_PART : afterFirst;
        return Math.min(missing, (int) Math.max(0, unread));
    }
}
