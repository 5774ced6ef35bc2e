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

/** Configuration between peers, without the store: neither service is started. */
final class ConfigServiceTest {

    private static final long MAX_AGE_MILLIS = 4_000;
    private static final long HEARTBEAT_MILLIS = 500;

    private final ManualTime mTime = new ManualTime();
    private final ConfigService mAhead = service();
    private final ConfigService mBehind = service();
    private final List<Frame> mReplies = new ArrayList<>();

    /** Guards against programs admitted under a configuration that nobody has confirmed. */
    @Test
    void unconfirmedConfigurationIsNotCurrent() {
        assertFalse(mBehind.isCurrent());
        assertEquals(Long.MAX_VALUE, mBehind.confirmedAgeMillis());
    }

    /** Guards against a process cut off from the store that refuses programs without need. */
    @Test
    void heartbeatOfAPeerConfirms() {
        heartbeat(0, 100);
        assertEquals(100 + HEARTBEAT_MILLIS, mBehind.confirmedAgeMillis());
        assertTrue(mBehind.isCurrent());
        mTime.runMillis(MAX_AGE_MILLIS - 100 - HEARTBEAT_MILLIS);
        assertTrue(mBehind.isCurrent());
        mTime.runMillis(1);
        assertFalse(mBehind.isCurrent());
        assertTrue(mReplies.isEmpty());
    }

    /** Guards against two cut-off peers that keep confirming each other. */
    @Test
    void confirmationAgesOnItsWay() {
        heartbeat(0, 0);
        for (int i = 0; i < 10; i++) {
            mAhead.heartbeat(
                    Heartbeat.newBuilder()
                            .setConfigConfirmedAgeMillis(mBehind.confirmedAgeMillis())
                            .build(),
                    mReplies::add);
            heartbeat(0, mAhead.confirmedAgeMillis());
            mTime.runMillis(500);
        }
        assertFalse(mBehind.isCurrent());
        assertFalse(mAhead.isCurrent());
    }

    /** Guards against a peer that knows nothing and confirms, also by an overflow of its age. */
    @Test
    void heartbeatOfAnUnconfirmedPeerDoesNotConfirm() {
        heartbeat(0, MAX_AGE_MILLIS + 1);
        heartbeat(0, Long.MAX_VALUE);
        assertFalse(mBehind.isCurrent());
        assertTrue(mReplies.isEmpty());
    }

    /** Guards against a process that stays behind although a peer has newer changes. */
    @Test
    void changesOfAPeerThatIsAheadAreTaken() {
        push(mAhead, 1, 2, 3);
        for (long age : new long[] {0, Long.MAX_VALUE}) {
            mReplies.clear();
            heartbeat(3, age);
            assertEquals(0, mReplies.getFirst().getConfigRequest().getAfterVersion());
            assertFalse(mBehind.isCurrent());
        }
        exchange();
        assertEquals(3, mBehind.state().version());
        assertEquals(mAhead.state(), mBehind.state());
        mReplies.clear();
        heartbeat(3, 0);
        assertTrue(mReplies.isEmpty());
        assertTrue(mBehind.isCurrent());
    }

    /** Guards against changes taken twice, out of order or with a gap, which would diverge. */
    @Test
    void onlyTheNextChangeIsTaken() {
        push(mBehind, 2, 3);
        assertEquals(0, mBehind.state().version());
        push(mBehind, 1, 3);
        assertEquals(1, mBehind.state().version());
        push(mBehind, 1, 2, 2);
        assertEquals(2, mBehind.state().version());
    }

    /** Guards against a push that exceeds the largest frame, and one that stops short for ever. */
    @Test
    void manyChangesTakeSeveralPushes() {
        for (int version = 1; version <= 300; version++) {
            push(mAhead, version);
        }
        heartbeat(300, 0);
        exchange();
        assertEquals(256, mBehind.state().version());
        heartbeat(300, 0);
        exchange();
        assertEquals(300, mBehind.state().version());
    }

    /** Guards against an empty answer, or one with a gap after changes that are not kept. */
    @Test
    void peerIsNotAnsweredWithoutTheChangesItLacks() {
        assertTrue(mAhead.push(0).isEmpty());
        for (int version = 1; version <= ConfigSettings.defaults().keptChanges() + 1; version++) {
            push(mAhead, version);
        }
        assertTrue(mAhead.push(0).isEmpty());
        assertTrue(mAhead.push(1).isPresent());
    }

    /** Guards against a malformed change that stops a process, or makes it differ from others. */
    @Test
    void malformedChangeOnlyAdvancesTheVersion() {
        mBehind.push(
                ConfigPush.newBuilder()
                        .addChanges(change(1).toBuilder().setCommand("no command"))
                        .addChanges(change(2))
                        .build());
        assertEquals(2, mBehind.state().version());
        assertTrue(mBehind.state().classNamed("c2").isPresent());
    }

    // Helpers

    /** Delivers a heartbeat of the process that is ahead. */
    private void heartbeat(long version, long ageMillis) {
        mBehind.heartbeat(
                Heartbeat.newBuilder()
                        .setConfigVersion(version)
                        .setConfigConfirmedAgeMillis(ageMillis)
                        .build(),
                mReplies::add);
    }

    /** Answers the last request of the process that is behind. */
    private void exchange() {
        ConfigRequest request = mReplies.getLast().getConfigRequest();
        mAhead.request(request, frame -> mBehind.push(frame.getConfigPush()));
    }

    private static void push(ConfigService service, int... versions) {
        ConfigPush.Builder push = ConfigPush.newBuilder();
        for (int version : versions) {
            push.addChanges(change(version));
        }
        service.push(push.build());
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
        ManualStore store = new ManualStore();
        Random random = new Random(1);
        GroupCommit commit =
                new GroupCommit(
                        store,
                        store.objects(),
                        mTime,
                        mTime::nanos,
                        random,
                        GroupCommitLimits.defaults(),
                        "turns/n/");
        FoldedConfig folded = new FoldedConfig();
        ConfigLog log =
                new ConfigLog(
                        store,
                        new SnapshotStore(store, store.objects(), commit, mTime::nanos, random),
                        commit,
                        mTime,
                        mTime::nanos,
                        random,
                        ConfigSettings.defaults(),
                        () -> 1,
                        folded,
                        change -> {});
        return new ConfigService(log, folded, mTime::nanos);
    }
}
