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
 * Connects to the hosts in the platform's host list and keeps their connections and state. The list
 * only names hosts to connect to: a host remains in use while its connection is open, even if it
 * has disappeared from the list. Such a host is removed when its connection closes. Thread safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class HostDirectory {

    /**
     * Is told whether a target may get new calls. The methods may be called again although nothing
     * has changed.
     */
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
    private final Set<String> mConnectingNodes = ConcurrentHashMap.newKeySet();
    private volatile boolean mHostListRead;

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

    /** Returns the connection to another entry host, if it is open. */
    Optional<PeerConnection> entryConnection(String node) {
        return Optional.ofNullable(mEntryConnections.get(node));
    }

    Collection<PeerConnection> entryConnections() {
        return mEntryConnections.values();
    }

    /** Returns the number of known entry hosts in a zone, plus one for this process. */
    int countEntryHostsInZone(String zone) {
        long others =
                mEntryHosts.values().stream().filter(host -> host.zone().equals(zone)).count();
        return (int) others + 1;
    }

    /** Tells whether the host list has been read at least once. */
    boolean isHostListRead() {
        return mHostListRead;
    }

    Optional<TargetHandle> targetAt(String node) {
        return Optional.ofNullable(mTargets.get(node));
    }

    // Operations

    /**
     * Marks a target whose sidecar has announced that it is leaving. The announcement arrives
     * before the platform's host list marks the host as leaving.
     *
     * @return whether the target was connected with this incarnation and not marked before
     */
    boolean markLeaving(String node, long incarnation) {
        Optional<TargetHandle> target =
                targetAt(node)
                        .filter(handle -> handle.hasIncarnation(incarnation))
                        .filter(handle -> !handle.isLeaving());
        target.ifPresent(
                handle -> {
                    handle.markLeaving();
                    notifyListener(handle);
                });
        return target.isPresent();
    }

    // Helpers

    private void notifyListener(TargetHandle target) {
        if (target.isAvailable()) {
            mListener.onAvailable(target);
        } else {
            mListener.onUnavailable(target);
        }
    }

    private void poll() {
        try {
            applyHostList(mHostList.list().join());
            mHostListRead = true;
        } catch (RuntimeException e) {
            Logger.warn(
                    "cannot read the host list, using the hosts known so far: {}", e.getMessage());
        }
        mTargets.values().forEach(this::connectTarget);
        mEntryHosts.values().forEach(this::connectEntryHost);
    }

    private void applyHostList(List<HostEntry> hosts) {
        Set<String> listedNodes = new HashSet<>();
        for (HostEntry host : hosts) {
            listedNodes.add(host.hostId());
            if (host.role() == HostRole.SIDECAR) {
                TargetHandle target =
                        mTargets.computeIfAbsent(host.hostId(), id -> new TargetHandle(host));
                target.setHostEntry(host);
                notifyListener(target);
            } else if (!host.hostId().equals(mOwnNode)) {
                mEntryHosts.put(host.hostId(), host);
            }
        }
        mTargets.entrySet()
                .removeIf(
                        entry ->
                                !listedNodes.contains(entry.getKey())
                                        && entry.getValue().connection().isEmpty());
        mEntryHosts
                .keySet()
                .removeIf(
                        node ->
                                !listedNodes.contains(node)
                                        && !mEntryConnections.containsKey(node));
    }

    private void connectTarget(TargetHandle target) {
        if (target.connection().isPresent()) {
            return;
        }
        connect(target.hostEntry(), connection -> onTargetConnected(target, connection));
    }

    private void onTargetConnected(TargetHandle target, PeerConnection connection) {
        target.setConnection(connection);
        notifyListener(target);
        connection.closed().thenRun(() -> onTargetDisconnected(target, connection));
    }

    private void onTargetDisconnected(TargetHandle target, PeerConnection connection) {
        target.clearConnection(connection);
        notifyListener(target);
    }

    private void connectEntryHost(HostEntry host) {
        if (mEntryConnections.containsKey(host.hostId())) {
            return;
        }
        connect(host, connection -> onEntryHostConnected(host.hostId(), connection));
    }

    private void onEntryHostConnected(String node, PeerConnection connection) {
        mEntryConnections.put(node, connection);
        connection.closed().thenRun(() -> mEntryConnections.remove(node, connection));
    }

    private void connect(HostEntry host, Consumer<PeerConnection> onConnected) {
        if (!mConnectingNodes.add(host.hostId())) {
            return;
        }
        mConnector
                .connect(host.address(), host.port())
                .whenComplete(
                        (connection, failure) -> {
                            mConnectingNodes.remove(host.hostId());
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
