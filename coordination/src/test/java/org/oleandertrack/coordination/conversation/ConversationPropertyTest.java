package org.oleandertrack.coordination.conversation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.spending.FakeRowStore.Fate;

/**
 * Random interleavings of turns, kills and failures of the store, compared with a map of the turns
 * whose response has ended.
 */
final class ConversationPropertyTest {

    private static final List<Fate> FATES = List.copyOf(EnumSet.allOf(Fate.class));
    private static final int STEPS = 120;
    private static final int HOSTS = 3;
    private static final long RETENTION_MILLIS = 1_000_000;

    private final VirtualTime mTime = new VirtualTime(1);
    private final FakeRowStore mStore = new FakeRowStore();
    private final ConversationCluster mCluster = new ConversationCluster(mTime, mStore);
    private final Map<String, Conversation> mEnded = new HashMap<>();
    // A turn that did not end may be found too, after a late write, but not changed.
    private final Map<String, Conversation> mWritten = new HashMap<>();
    private boolean mDown;

    @Property(tries = 300)
    void aTurnThatEndedIsNeverUnknownOrChanged(@ForAll long seed) {
        new ConversationPropertyTest().run(new Random(seed));
    }

    private void run(Random random) {
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(10)) {
                case 0 -> setDown(!mDown);
                case 1 -> mStore.setNextFates(FATES.get(random.nextInt(FATES.size())));
                case 2 -> mStore.applyLate();
                case 3 -> mCluster.restart(random.nextInt(HOSTS));
                case 4 -> mCluster.restartAll();
                case 5 -> mCluster.runMaintenance();
                default -> endTurn("t" + step, random);
            }
            mTime.runFor(random.nextInt(1_000) * VirtualTime.MILLI);
            lookUp(random);
        }
        assertFalse(mEnded.isEmpty());
    }

    private void setDown(boolean down) {
        mDown = down;
        mStore.setDown(down);
    }

    private void endTurn(String id, Random random) {
        Conversation conversation =
                Conversation.of((id + random.nextLong()).getBytes(StandardCharsets.UTF_8));
        mWritten.put(id, conversation);
        var outcome =
                mCluster.host(random.nextInt(HOSTS))
                        .service()
                        .keep(new KeptTurn(id, conversation, RETENTION_MILLIS));
        mTime.runFor(3 * VirtualTime.SECOND);
        if (outcome.join() instanceof KeepResult.Kept) {
            mEnded.put(id, conversation);
        }
    }

    private void lookUp(Random random) {
        String id = "t" + random.nextInt(STEPS);
        var pending = mCluster.host(random.nextInt(HOSTS)).service().find(id, RETENTION_MILLIS);
        mTime.runFor(3 * VirtualTime.SECOND);
        switch (pending.join()) {
            case TurnLookup.Found found -> assertEquals(mWritten.get(id), found.conversation());
            case TurnLookup.NotFound notFound -> assertFalse(mEnded.containsKey(id));
            // Only an outage explains that a turn that ended cannot be read.
            case TurnLookup.Unavailable unavailable ->
                    assertFalse(mEnded.containsKey(id) && !mDown, unavailable.reason());
        }
    }
}
