package org.oleandertrack.core.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against using targets that have left, and against dropping targets that are alive. */
final class TargetDirectoryTest {

    private static final long GRACE_NANOS = 2_000;

    private final List<String> mEvents = new ArrayList<>();
    private final TargetDirectory mDirectory =
            new TargetDirectory(
                    GRACE_NANOS,
                    new TargetListener() {
                        @Override
                        public void onAdded(TargetRecord target) {
                            mEvents.add("added " + target.id());
                        }

                        @Override
                        public void onChanged(TargetRecord target) {
                            mEvents.add("changed " + target.id());
                        }

                        @Override
                        public void onRemoved(TargetRecord target, RemovalReason reason) {
                            mEvents.add("removed " + target.id() + " " + reason.text());
                        }
                    },
                    0);

    private static TargetRecord record(String id, boolean draining, long startedAt) {
        return record(id, "v1", draining, startedAt);
    }

    private static TargetRecord record(
            String id, String softwareVersion, boolean draining, long startedAt) {
        return new TargetRecord(
                id,
                "s",
                "10.0.0.1",
                80,
                "z",
                softwareVersion,
                draining,
                4,
                OptionalLong.of(startedAt));
    }

    @Test
    void aDrainingTargetGetsNoNewWork() {
        mDirectory.put(record("a", false, 1));
        mDirectory.put(record("a", true, 1));
        assertEquals(List.of("added a", "removed a draining"), mEvents);
        assertTrue(mDirectory.findUsable("a").isEmpty());
    }

    @Test
    void aTargetThatIsFirstSeenDrainingIsNeverUsed() {
        mDirectory.put(record("a", true, 1));
        assertEquals(List.of(), mEvents);
    }

    @Test
    void aRestartUnderTheSameIdIsANewIncarnation() {
        mDirectory.put(record("a", false, 1));
        mDirectory.put(record("a", false, 2));
        assertEquals(List.of("added a", "removed a restarted", "added a"), mEvents);
    }

    @Test
    void anEntryThatChangesItsSoftwareVersionIsANewIncarnation() {
        mDirectory.put(record("a", "v1", false, 1));
        mDirectory.put(record("a", "v2", false, 1));
        assertEquals(List.of("added a", "removed a restarted", "added a"), mEvents);
    }

    @Test
    void aTargetThatLeavesIsNotUsedAgainWhateverTheStoreLists() {
        mDirectory.put(record("a", false, 1));
        mDirectory.markLeaving(record("a", false, 1));
        mDirectory.markLeaving(record("a", false, 1));
        mDirectory.put(record("a", false, 1));
        mDirectory.put(record("a", true, 1));
        mDirectory.put(record("a", false, 1));
        mDirectory.remove("a", 10_000);
        mDirectory.put(record("a", false, 1));
        assertEquals(List.of("added a", "removed a leaving"), mEvents);
        assertTrue(mDirectory.findUsable("a").isEmpty());
    }

    @Test
    void aTargetThatLeavesAndExpiresDuringAnOutageIsNotUsedAfterIt() {
        mDirectory.put(record("a", false, 1));
        mDirectory.markStoreUnreachable();
        mDirectory.markLeaving(record("a", false, 1));
        mDirectory.markStoreReachable(10_000);
        mDirectory.replaceAll(List.of(), 10_000);
        mDirectory.dropExpired(10_000 + GRACE_NANOS);
        mDirectory.replaceAll(List.of(record("a", false, 1)), 20_000);
        assertEquals(List.of("added a", "removed a leaving"), mEvents);
    }

    @Test
    void anotherIncarnationOfATargetThatLeftIsUsed() {
        mDirectory.put(record("a", false, 1));
        mDirectory.markLeaving(record("a", false, 1));
        mDirectory.put(record("a", false, 2));
        assertEquals(List.of("added a", "removed a leaving", "added a"), mEvents);
    }

    @Test
    void anEarlierIncarnationThatLeavesDoesNotRemoveALaterOne() {
        mDirectory.put(record("a", false, 2));
        mDirectory.markLeaving(record("a", false, 1));
        assertEquals(List.of("added a"), mEvents);
        assertTrue(mDirectory.findUsable("a").isPresent());
    }

    @Test
    void anEntryThatIsRemovedWhileTheStoreIsStableIsGoneAtOnce() {
        mDirectory.put(record("a", false, 1));
        mDirectory.remove("a", 10_000);
        assertEquals(List.of("added a", "removed a removed"), mEvents);
    }

    @Test
    void anEntryThatExpiresDuringAnOutageStaysInUseUntilItHadTimeToBeRenewed() {
        mDirectory.put(record("a", false, 1));
        mDirectory.put(record("b", false, 1));
        mDirectory.markStoreUnreachable();
        mDirectory.markStoreReachable(10_000);
        mDirectory.replaceAll(List.of(), 10_000);
        assertTrue(mDirectory.findUsable("a").isPresent());
        mDirectory.put(record("a", false, 1));
        mDirectory.dropExpired(10_000 + GRACE_NANOS - 1);
        assertTrue(mDirectory.findUsable("b").isPresent());
        mDirectory.dropExpired(10_000 + GRACE_NANOS);
        assertEquals(List.of("added a", "added b", "removed b expired"), mEvents);
        assertTrue(mDirectory.findUsable("a").isPresent());
    }

    @Test
    void entriesAreKeptWhileTheStoreIsUnreachable() {
        mDirectory.put(record("a", false, 1));
        mDirectory.markStoreUnreachable();
        mDirectory.remove("a", 100_000);
        mDirectory.dropExpired(200_000);
        assertTrue(mDirectory.findUsable("a").isPresent());
    }

    @Test
    void aFullReadRemovesWhatIsMissing() {
        mDirectory.put(record("a", false, 1));
        mDirectory.replaceAll(List.of(record("b", false, 1)), 10_000);
        assertEquals(List.of("added a", "added b", "removed a removed"), mEvents);
    }
}
