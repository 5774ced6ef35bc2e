package org.oleandertrack.gateway.peer;

import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.placement.RendezvousHash;
import org.oleandertrack.http.PooledHttpClient;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * The other gateways. Each gateway announces itself in a table of the store; until that table is
 * read, the seed addresses of the settings are used. Rows of gateways that no longer run are
 * harmless, because a peer that does not respond is skipped. Thread-safe.
 */
public final class PeerDirectory implements TableListener {

    /** Table in which gateways announce themselves. */
    public static final String TABLE = "gateways";

    private final EventLoop mLoop;
    private final String mOwnNodeName;
    private final InetSocketAddress mOwnAddress;
    private final EventLog mLog;
    private final Map<InetSocketAddress, PeerClient> mClients = new HashMap<>();
    private final Map<String, InetSocketAddress> mAnnouncedAddresses = new HashMap<>();
    private long mAnnouncedVersion;

    /**
     * Creates a directory.
     *
     * @param ownNodeName name of this gateway
     * @param ownAddress address on which this gateway serves its peers
     * @param seeds addresses of some gateways, which may be out of date
     */
    public PeerDirectory(
            EventLoop loop,
            String ownNodeName,
            InetSocketAddress ownAddress,
            List<InetSocketAddress> seeds,
            EventLog log) {
        mLoop = loop;
        mOwnNodeName = ownNodeName;
        mOwnAddress = ownAddress;
        mLog = log;
        seeds.forEach(this::add);
    }

    /** Value of the row by which a gateway announces its address to its peers. */
    record Announcement(String host, int port) {

        InetSocketAddress toAddress() {
            // The name of a host would be looked up by the thread that reads the row.
            if (host == null || NetUtil.createByteArrayFromIpAddressString(host) == null) {
                throw new IllegalArgumentException("not an IP address: " + host);
            }
            return new InetSocketAddress(host, port);
        }
    }

    // Accessors

    /** Returns the id of the row by which this gateway announces itself. */
    public RowId announcementRowId() {
        return new RowId(TABLE, "", mOwnNodeName);
    }

    /** Returns the value of the row by which this gateway announces itself. */
    public String announcementValue() {
        return RowJson.encode(
                new Announcement(mOwnAddress.getAddress().getHostAddress(), mOwnAddress.getPort()));
    }

    /** Returns the number of known peers. */
    public synchronized int peerCount() {
        return mClients.size();
    }

    /** Returns the names of all announced gateways, which may include this one. */
    synchronized List<String> announcedNames() {
        return List.copyOf(mAnnouncedAddresses.keySet());
    }

    /** Returns a number that increases when a gateway is announced or removed. */
    synchronized long announcedVersion() {
        return mAnnouncedVersion;
    }

    /** Returns an announced gateway other than this one. */
    synchronized Optional<PeerClient> announcedPeer(String node) {
        return node.equals(mOwnNodeName)
                ? Optional.empty()
                : Optional.ofNullable(mAnnouncedAddresses.get(node)).map(mClients::get);
    }

    /** Returns the peers that respond. */
    synchronized List<PeerClient> responsivePeers() {
        long nowNanos = System.nanoTime();
        return mClients.values().stream().filter(peer -> peer.isResponsive(nowNanos)).toList();
    }

    /** Returns one row store for each peer that may reach the store; the peer relays its calls. */
    public synchronized List<RowStore> relayStores() {
        long nowNanos = System.nanoTime();
        List<RowStore> stores = new ArrayList<>();
        mClients.values().stream()
                .filter(peer -> peer.mayReachStore(nowNanos))
                .forEach(stores::add);
        return stores;
    }

    /**
     * Returns the gateway that rendezvous hashing selects for a key; empty if it is this gateway.
     * Gateways that know the same peers select the same one.
     */
    synchronized Optional<PeerClient> selectedPeerFor(String key) {
        String selected = mOwnNodeName;
        for (String node : mAnnouncedAddresses.keySet()) {
            if (RendezvousHash.score(key, node) > RendezvousHash.score(key, selected)) {
                selected = node;
            }
        }
        return selected.equals(mOwnNodeName)
                ? Optional.empty()
                : Optional.ofNullable(mClients.get(mAnnouncedAddresses.get(selected)));
    }

    /**
     * Returns the hosts that may pace a target for all hosts, in the order in which they are to be
     * asked: the first ones by rendezvous hashing among all announced hosts, without those that did
     * not respond recently. Empty if no host has been announced.
     */
    synchronized List<PacingHost> pacingHostsFor(String targetId, int limit) {
        long nowNanos = System.nanoTime();
        List<PacingHost> hosts = new ArrayList<>();
        mAnnouncedAddresses.entrySet().stream()
                .sorted(byScore(targetId))
                .limit(limit)
                .forEach(
                        entry -> {
                            if (entry.getKey().equals(mOwnNodeName)) {
                                hosts.add(new PacingHost.Own());
                                return;
                            }
                            Optional.ofNullable(mClients.get(entry.getValue()))
                                    .filter(peer -> peer.mayIssuePermits(nowNanos))
                                    .ifPresent(peer -> hosts.add(new PacingHost.Peer(peer)));
                        });
        return hosts;
    }

    /**
     * Returns the responsive peers that rendezvous hashing ranks first for a key, among all
     * announced ones; those of the settings if none has been announced.
     */
    synchronized List<PeerClient> selectedPeersFor(String key, int limit) {
        long nowNanos = System.nanoTime();
        List<PeerClient> selected =
                mAnnouncedAddresses.entrySet().stream()
                        .sorted(byScore(key))
                        .map(entry -> mClients.get(entry.getValue()))
                        .filter(peer -> peer != null && peer.isResponsive(nowNanos))
                        .limit(limit)
                        .toList();
        return selected.isEmpty()
                ? mClients.values().stream()
                        .filter(peer -> peer.isResponsive(nowNanos))
                        .limit(limit)
                        .toList()
                : selected;
    }

    /**
     * Returns the peers without those that have been silent for longer than the given time, because
     * nothing that they hold is still needed.
     */
    synchronized List<PeerClient> peersRemembering(long retentionMillis) {
        long nowNanos = System.nanoTime();
        return mClients.values().stream()
                .filter(peer -> !peer.isSilentFor(retentionMillis, nowNanos))
                .toList();
    }

    // Operations

    /** Adds addresses of other gateways, which may be out of date. */
    public synchronized void addSeeds(List<InetSocketAddress> seeds) {
        seeds.forEach(this::add);
    }

    @Override
    public synchronized void onTableRead(List<StoredRow> rows) {
        rows.forEach(this::applyAnnouncement);
    }

    @Override
    public synchronized void onRowsChanged(List<RowChange> changes) {
        for (RowChange change : changes) {
            switch (change) {
                case RowChange.Written written -> applyAnnouncement(written.row());
                case RowChange.Removed removed -> remove(removed.id().key());
            }
        }
    }

    @Override
    public void onStoreLost(String reason) {
        // The loss of the store is logged for the tables of the configuration and the targets.
    }

    @Override
    public void onStoreRegained(long outageMillis) {
        // The return of the store is logged for the tables of the configuration and the targets.
    }

    // Helpers

    private static Comparator<Map.Entry<String, InetSocketAddress>> byScore(String key) {
        return Comparator.comparingLong(
                        (Map.Entry<String, InetSocketAddress> entry) ->
                                RendezvousHash.score(key, entry.getKey()))
                .reversed();
    }

    private void applyAnnouncement(StoredRow row) {
        InetSocketAddress address;
        try {
            address =
                    RowJson.decode(row.id().toString(), row.value(), Announcement.class)
                            .toAddress();
        } catch (IllegalStateException | IllegalArgumentException e) {
            mLog.warn("gateway entry unreadable")
                    .text("key", row.id().key())
                    .text("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        InetSocketAddress previous = mAnnouncedAddresses.put(row.id().key(), address);
        if (previous == null) {
            mAnnouncedVersion++;
        } else if (!previous.equals(address)) {
            close(previous);
        }
        add(address);
    }

    private void remove(String node) {
        Optional.ofNullable(mAnnouncedAddresses.remove(node))
                .ifPresent(
                        address -> {
                            mAnnouncedVersion++;
                            close(address);
                        });
    }

    private void add(InetSocketAddress address) {
        if (!address.equals(mOwnAddress)) {
            mClients.computeIfAbsent(
                    address, key -> new PeerClient(new PooledHttpClient(mLoop, address)));
        }
    }

    private void close(InetSocketAddress address) {
        Optional.ofNullable(mClients.remove(address)).ifPresent(PeerClient::close);
    }
}
