package org.oleandertrack.coordination.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.StoredRow;

/** Guards against a request that crashes more targets because a host does not know of it. */
final class QuarantineServiceTest {

    private static final long RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private final FakeRowStore mStore = new FakeRowStore();
    private final List<String> mEvents = new ArrayList<>();
    private final List<QuarantineService> mHosts = new ArrayList<>();
    private long mNowMillis = 1_000_000;
    private int mReports;

    private QuarantineService startHost() {
        QuarantineService host =
                new QuarantineService(
                        mStore,
                        (content, targetIds) -> {
                            mReports++;
                            mHosts.forEach(peer -> peer.recordReported(content, targetIds));
                        },
                        () -> mNowMillis,
                        new QuarantineListener() {
                            @Override
                            public void onQuarantined(String content, Set<String> targetIds) {
                                mEvents.add("quarantined " + content);
                            }

                            @Override
                            public void onReleased(String content) {
                                mEvents.add("released " + content);
                            }

                            @Override
                            public void onWriteFailed(String content, String reason) {
                                mEvents.add("not written " + content);
                            }

                            @Override
                            public void onUnreadable(String key, String reason) {
                                mEvents.add("unreadable " + key);
                            }
                        });
        mHosts.add(host);
        readTable(host);
        return host;
    }

    private void readTable(QuarantineService host) {
        host.onTableRead(mStore.rows(QuarantineService.TABLE));
    }

    private void crash(QuarantineService host, String content, String... targetIds) {
        for (String targetId : targetIds) {
            host.recordCrash(content, targetId, RETENTION_MILLIS);
        }
    }

    @Test
    void crashesThatDifferentHostsObservedAreCountedTogether() {
        QuarantineService first = startHost();
        QuarantineService second = startHost();
        crash(first, "deadly", "t1", "t1", "t2");
        crash(second, "deadly", "t3");
        assertTrue(second.isQuarantined("deadly"));
        readTable(first);
        assertTrue(first.isQuarantined("deadly"));
        assertFalse(first.isQuarantined("other"));
    }

    @Test
    void aRestartedHostKnowsTheQuarantine() {
        crash(startHost(), "deadly", "t1", "t2", "t3");
        assertTrue(startHost().isQuarantined("deadly"));
    }

    @Test
    void lostAnswersOfTheStoreLoseNoCrash() {
        QuarantineService first = startHost();
        QuarantineService second = startHost();
        mStore.setNextFates(
                FakeRowStore.Fate.ANSWER_LOST,
                FakeRowStore.Fate.REFUSED,
                FakeRowStore.Fate.ANSWER_LOST);
        crash(first, "deadly", "t1", "t2");
        crash(second, "deadly", "t3");
        for (int i = 0; i < 3; i++) {
            mNowMillis += 1_000;
            first.runMaintenance();
            second.runMaintenance();
        }
        assertTrue(startHost().isQuarantined("deadly"));
    }

    @Test
    void whileTheStoreIsAwayHostsTellEachOtherAndLaterTheStore() {
        QuarantineService first = startHost();
        QuarantineService second = startHost();
        mStore.setDown(true);
        crash(first, "deadly", "t1", "t2");
        crash(second, "deadly", "t3");
        assertTrue(first.isQuarantined("deadly"));
        assertTrue(second.isQuarantined("deadly"));
        mStore.setDown(false);
        readTable(first);
        assertTrue(first.isQuarantined("deadly"), "a read before the write forgets nothing");
        mNowMillis += 1_000;
        first.runMaintenance();
        second.runMaintenance();
        assertTrue(startHost().isQuarantined("deadly"));
    }

    /** Guards against a flood of reports and writes while the store is away. */
    @Test
    void anOutageRepeatsNoReportAndFewWrites() {
        QuarantineService host = startHost();
        mStore.setDown(true);
        crash(host, "a", "t1");
        crash(host, "b", "t1");
        int transactions = mStore.transactions();
        for (int i = 0; i < 40; i++) {
            mNowMillis += 250;
            host.runMaintenance();
        }
        assertEquals(2, mReports);
        int repeated = mStore.transactions() - transactions;
        assertTrue(repeated > 0 && repeated <= 2 * 10, "writes " + repeated);
    }

    @Test
    void aSuspectThatIsAnsweredIsCleared() {
        QuarantineService host = startHost();
        crash(host, "innocent", "t1", "t2");
        host.recordAnswer("innocent");
        assertFalse(host.hasSuspects());
        assertEquals(List.of(), mStore.rows(QuarantineService.TABLE));
        crash(host, "innocent", "t3");
        assertFalse(host.isQuarantined("innocent"));
    }

    @Test
    void theQuarantineEndsAfterItsTimeAndItsRowIsRemoved() {
        QuarantineService host = startHost();
        crash(host, "deadly", "t1", "t2", "t3");
        mNowMillis += TimeUnit.MINUTES.toMillis(9);
        host.runMaintenance();
        assertTrue(host.isQuarantined("deadly"));
        mNowMillis += TimeUnit.MINUTES.toMillis(2);
        host.runMaintenance();
        assertFalse(host.isQuarantined("deadly"));
        assertEquals(List.of(), mStore.rows(QuarantineService.TABLE));
        assertEquals(List.of("quarantined deadly", "released deadly"), mEvents);
    }

    @Test
    void removedRowsAreForgottenAndUnreadableOnesAreIgnored() {
        QuarantineService host = startHost();
        crash(host, "deadly", "t1", "t2", "t3");
        RowId broken = new RowId(QuarantineService.TABLE, "", "broken");
        host.onRowsChanged(
                List.of(
                        new RowChange.Written(new StoredRow(broken, "{", 9)),
                        new RowChange.Removed(new RowId(QuarantineService.TABLE, "", "deadly"))));
        assertFalse(host.hasSuspects());
        assertTrue(mEvents.contains("unreadable broken"), mEvents.toString());
    }
}
