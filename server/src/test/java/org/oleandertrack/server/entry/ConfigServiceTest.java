package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.config.ConfigLog;
import org.oleandertrack.coordination.config.ConfigSettings;
import org.oleandertrack.coordination.config.SnapshotStore;
import org.oleandertrack.protocol.message.ConfigChange;
import org.oleandertrack.protocol.message.ConfigPush;
import org.oleandertrack.protocol.message.ConfigRequest;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.Heartbeat;

/**
 * Tests how entry hosts exchange and confirm configurations. Neither service is started, so that
 * none of them reads the store.
 */
final class ConfigServiceTest {

    private static final long MAX_CONFIRMED_AGE_MILLIS = 4_000;
    private static final long MAX_HEARTBEAT_TRANSIT_MILLIS = 500;

    private final ManualTime mTime = new ManualTime();
    private final ConfigService mAheadService = service();
    private final ConfigService mBehindService = service();
    private final List<Frame> mReplies = new ArrayList<>();

    /** Guards against new programs under a configuration that was never confirmed. */
    @Test
    void unconfirmedConfigurationIsNotCurrent() {
        assertFalse(mBehindService.isCurrent());
        assertEquals(Long.MAX_VALUE, mBehindService.confirmedAgeMillis());
    }

    /**
     * Guards against a process that cannot reach the store and refuses new programs although a peer
     * has confirmed its configuration.
     */
    @Test
    void heartbeatOfAConfirmedPeerConfirms() {
        deliverHeartbeat(0, 100);
        assertEquals(100 + MAX_HEARTBEAT_TRANSIT_MILLIS, mBehindService.confirmedAgeMillis());
        assertTrue(mBehindService.isCurrent());
        mTime.advanceMillis(MAX_CONFIRMED_AGE_MILLIS - 100 - MAX_HEARTBEAT_TRANSIT_MILLIS);
        assertTrue(mBehindService.isCurrent());
        mTime.advanceMillis(1);
        assertFalse(mBehindService.isCurrent());
        assertTrue(mReplies.isEmpty());
    }

    /**
     * Guards against two processes that cannot reach the store and keep confirming each other's
     * configuration without end.
     */
    @Test
    void confirmationKeepsAgingBetweenPeers() {
        deliverHeartbeat(0, 0);
        for (int i = 0; i < 10; i++) {
            mAheadService.onHeartbeat(
                    Heartbeat.newBuilder()
                            .setConfigConfirmedAgeMillis(mBehindService.confirmedAgeMillis())
                            .build(),
                    mReplies::add);
            deliverHeartbeat(0, mAheadService.confirmedAgeMillis());
            mTime.advanceMillis(500);
        }
        assertFalse(mBehindService.isCurrent());
        assertFalse(mAheadService.isCurrent());
    }

    /**
     * Guards against a confirmation by a peer whose own configuration is not confirmed, for
     * instance by an overflow of the largest age.
     */
    @Test
    void heartbeatOfAnUnconfirmedPeerDoesNotConfirm() {
        deliverHeartbeat(0, MAX_CONFIRMED_AGE_MILLIS + 1);
        deliverHeartbeat(0, Long.MAX_VALUE);
        assertFalse(mBehindService.isCurrent());
        assertTrue(mReplies.isEmpty());
    }

    /** Guards against a process that does not request the newer changes of a peer. */
    @Test
    void changesOfAPeerThatIsAheadAreApplied() {
        deliverChanges(mAheadService, 1, 2, 3);
        for (long age : new long[] {0, Long.MAX_VALUE}) {
            mReplies.clear();
            deliverHeartbeat(3, age);
            assertEquals(0, mReplies.getFirst().getConfigRequest().getAfterVersion());
            assertFalse(mBehindService.isCurrent());
        }
        deliverRequestedChanges();
        assertEquals(3, mBehindService.state().version());
        assertEquals(mAheadService.state(), mBehindService.state());
        mReplies.clear();
        deliverHeartbeat(3, 0);
        assertTrue(mReplies.isEmpty());
        assertTrue(mBehindService.isCurrent());
    }

    /** Guards against changes applied twice, out of order or with a gap. */
    @Test
    void onlyTheNextChangeIsApplied() {
        deliverChanges(mBehindService, 2, 3);
        assertEquals(0, mBehindService.state().version());
        deliverChanges(mBehindService, 1, 3);
        assertEquals(1, mBehindService.state().version());
        deliverChanges(mBehindService, 1, 2, 2);
        assertEquals(2, mBehindService.state().version());
    }

    /** Guards against a push larger than a frame, and against changes that are never sent. */
    @Test
    void manyChangesTakeSeveralPushes() {
        for (int version = 1; version <= 300; version++) {
            deliverChanges(mAheadService, version);
        }
        deliverHeartbeat(300, 0);
        deliverRequestedChanges();
        assertEquals(256, mBehindService.state().version());
        deliverHeartbeat(300, 0);
        deliverRequestedChanges();
        assertEquals(300, mBehindService.state().version());
    }

    /** Guards against an empty push, and a push with a gap because older changes are not kept. */
    @Test
    void noPushIsMadeWithoutTheMissingChanges() {
        assertTrue(mAheadService.changesFrame(0).isEmpty());
        for (int version = 1; version <= ConfigSettings.defaults().keptChanges() + 1; version++) {
            deliverChanges(mAheadService, version);
        }
        assertTrue(mAheadService.changesFrame(0).isEmpty());
        assertTrue(mAheadService.changesFrame(1).isPresent());
    }

    /** Guards against a malformed change that stops a process or leads to a different state. */
    @Test
    void malformedChangeOnlyAdvancesTheVersion() {
        mBehindService.onConfigPush(
                ConfigPush.newBuilder()
                        .addChanges(change(1).toBuilder().setCommand("no command"))
                        .addChanges(change(2))
                        .build());
        assertEquals(2, mBehindService.state().version());
        assertTrue(mBehindService.state().classNamed("c2").isPresent());
    }

    // Helpers

    /** Delivers a heartbeat to the process that is behind. */
    private void deliverHeartbeat(long version, long ageMillis) {
        mBehindService.onHeartbeat(
                Heartbeat.newBuilder()
                        .setConfigVersion(version)
                        .setConfigConfirmedAgeMillis(ageMillis)
                        .build(),
                mReplies::add);
    }

    /** Delivers the last request for changes and the push that answers it. */
    private void deliverRequestedChanges() {
        ConfigRequest request = mReplies.getLast().getConfigRequest();
        mAheadService.onConfigRequest(
                request, frame -> mBehindService.onConfigPush(frame.getConfigPush()));
    }

    private static void deliverChanges(ConfigService service, int... versions) {
        ConfigPush.Builder push = ConfigPush.newBuilder();
        for (int version : versions) {
            push.addChanges(change(version));
        }
        service.onConfigPush(push.build());
    }

    private static ConfigChange change(int version) {
        return ConfigChange.newBuilder()
                .setVersion(version)
                .setCommand("set class c" + version + " priority=1")
                .setOperator("operator")
                .setChangeId("id-" + version)
                .build();
    }

    private ConfigService service() {
        InMemoryStore store = new InMemoryStore();
        Random random = new Random(1);
        GroupCommit commit =
                new GroupCommit(
                        store,
                        store.objects(),
                        mTime,
                        mTime::nowNanos,
                        random,
                        GroupCommitLimits.defaults(),
                        "turns/n/");
        ConfigStateMachine configState = new ConfigStateMachine();
        ConfigLog log =
                new ConfigLog(
                        store,
                        new SnapshotStore(store, store.objects(), commit, mTime::nowNanos, random),
                        commit,
                        mTime,
                        mTime::nowNanos,
                        random,
                        ConfigSettings.defaults(),
                        () -> 1,
                        configState,
                        change -> {});
        return new ConfigService(log, configState, mTime::nowNanos);
    }
}
