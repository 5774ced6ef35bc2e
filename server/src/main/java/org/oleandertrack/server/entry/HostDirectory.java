package org.oleandertrack.server.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.coordination.membership.HostList;
import org.oleandertrack.coordination.membership.HostRole;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.PeerConnector;
import org.tinylog.Logger;

/**
 * Connects to the hosts that the platform lists and keeps what they say of themselves. The list
 * only names candidates: a host counts while its connection stands, whatever the list says, and a
 * host that the list has dropped is forgotten when its connection ends. Thread safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class HostDirectory {

    /** Learns which targets may get new work. */
    interface TargetListener {

        void onAvailable(TargetHandle target);

        void onUnavailable(TargetHandle target);
    }

    private final HostList mHostList;
    private final PeerConnector mConnector;
    private final String mOwnNode;
    private final long mPollMillis;
    private final TargetListener mListener;
    private final ScheduledExecutorService mPoller;
    private final Map<String, TargetHandle> mTargets = new ConcurrentHashMap<>();
    private final Map<String, HostEntry> mEntryHosts = new ConcurrentHashMap<>();
    private final Map<String, PeerConnection> mEntryConnections = new ConcurrentHashMap<>();
    private final Set<String> mConnecting = ConcurrentHashMap.newKeySet();
    private volatile boolean mListed;

    HostDirectory(
            HostList hostList,
            PeerConnector connector,
            String ownNode,
            long pollMillis,
            TargetListener listener) {
        mHostList = hostList;
        mConnector = connector;
        mOwnNode = ownNode;
        mPollMillis = pollMillis;
        mListener = listener;
        mPoller =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("host-list").factory());
    }

    // Life-cycle

    void start() {
        mPoller.scheduleWithFixedDelay(this::poll, 0, mPollMillis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        mPoller.shutdownNow();
    }

    // Accessors

    Collection<TargetHandle> targets() {
        return mTargets.values();
    }

    /** Returns the connection to another entry host, if it stands. */
    Optional<PeerConnection> entryHost(String node) {
        return Optional.ofNullable(mEntryConnections.get(node));
    }

    Collection<PeerConnection> entryHosts() {
        return mEntryConnections.values();
    }

    /** Returns the number of entry hosts in a zone that are listed, this one included. */
    int entryHostsInZone(String zone) {
        long others =
                mEntryHosts.values().stream().filter(host -> host.zone().equals(zone)).count();
        return (int) others + 1;
    }

    /** Tells whether the host list was read at least once. */
    boolean isListed() {
        return mListed;
    }

    Optional<TargetHandle> targetAt(String node) {
        return Optional.ofNullable(mTargets.get(node));
    }

    // Operations

    /**
     * Takes a process's own word that it leaves, which comes before the platform's list says so.
     *
     * @return whether this was news
     */
    boolean markLeaving(String node, long incarnation) {
        Optional<TargetHandle> target =
                targetAt(node)
                        .filter(handle -> handle.isIncarnation(incarnation))
                        .filter(handle -> !handle.isLeaving());
        target.ifPresent(
                handle -> {
                    handle.markLeaving();
                    tellListener(handle);
                });
        return target.isPresent();
    }

    // Helpers

    private void tellListener(TargetHandle target) {
        if (target.isAvailable()) {
            mListener.onAvailable(target);
        } else {
            mListener.onUnavailable(target);
        }
    }

    private void poll() {
        try {
            accept(mHostList.list().join());
            mListed = true;
        } catch (RuntimeException e) {
            Logger.warn("cannot read the host list: {}", e.getMessage());
        }
        mTargets.values().forEach(this::connectTarget);
        mEntryHosts.values().forEach(this::connectEntryHost);
    }

    private void accept(List<HostEntry> hosts) {
        Set<String> listed = new HashSet<>();
        for (HostEntry host : hosts) {
            listed.add(host.hostId());
            if (host.role() == HostRole.SIDECAR) {
                TargetHandle target =
                        mTargets.computeIfAbsent(host.hostId(), id -> new TargetHandle(host));
                target.update(host);
                tellListener(target);
            } else if (!host.hostId().equals(mOwnNode)) {
                mEntryHosts.put(host.hostId(), host);
            }
        }
        mTargets.entrySet()
                .removeIf(
                        entry ->
                                !listed.contains(entry.getKey())
                                        && entry.getValue().connection().isEmpty());
        mEntryHosts
                .keySet()
                .removeIf(node -> !listed.contains(node) && !mEntryConnections.containsKey(node));
    }

    private void connectTarget(TargetHandle target) {
        if (target.connection().isPresent()) {
            return;
        }
        connect(target.host(), connection -> targetConnected(target, connection));
    }

    private void targetConnected(TargetHandle target, PeerConnection connection) {
        target.connected(connection);
        tellListener(target);
        connection.closed().thenRun(() -> targetDisconnected(target, connection));
    }

    private void targetDisconnected(TargetHandle target, PeerConnection connection) {
        target.disconnected(connection);
        tellListener(target);
    }

    private void connectEntryHost(HostEntry host) {
        if (mEntryConnections.containsKey(host.hostId())) {
            return;
        }
        connect(host, connection -> entryHostConnected(host.hostId(), connection));
    }

    private void entryHostConnected(String node, PeerConnection connection) {
        mEntryConnections.put(node, connection);
        connection.closed().thenRun(() -> mEntryConnections.remove(node, connection));
    }

    private void connect(HostEntry host, Consumer<PeerConnection> onConnected) {
        if (!mConnecting.add(host.hostId())) {
            return;
        }
        mConnector
                .connect(host.address(), host.port())
                .whenComplete(
                        (connection, failure) -> {
                            mConnecting.remove(host.hostId());
                            if (failure != null) {
                                Logger.debug("cannot connect to {}: {}", host.hostId(), failure);
                                return;
                            }
                            onConnected.accept(connection);
                            Logger.info(
                                    "connected to {} in zone {}, incarnation {}",
                                    host.hostId(),
                                    host.zone(),
                                    Long.toHexString(connection.peer().getIncarnation()));
                        });
    }
}
