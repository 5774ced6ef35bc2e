package org.oleandertrack.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
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
import org.oleandertrack.http.HttpCaller;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * The other gateways. They announce themselves in a table of the store; until that was read, the
 * addresses of the settings serve. Rows of hosts that are gone do no harm: a peer that does not
 * answer is skipped. Thread-safe.
 */
public final class PeerDirectory implements TableListener {

    /** Table in which gateways announce themselves. */
    public static final String TABLE = "gateways";

    private final EventLoop mLoop;
    private final String mOwnNode;
    private final InetSocketAddress mOwnAddress;
    private final EventLog mLog;
    private final Map<InetSocketAddress, PeerClient> mPeers = new HashMap<>();
    private final Map<String, InetSocketAddress> mAnnounced = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param ownNode name of this gateway
     * @param ownAddress address on which this gateway serves its peers
     * @param seeds addresses of some gateways, which may be stale
     */
    public PeerDirectory(
            EventLoop loop,
            String ownNode,
            InetSocketAddress ownAddress,
            List<InetSocketAddress> seeds,
            EventLog log) {
        mLoop = loop;
        mOwnNode = ownNode;
        mOwnAddress = ownAddress;
        mLog = log;
        seeds.forEach(this::add);
    }

    /** Value of a gateway's row. */
    record Announcement(String host, int port) {}

    // Accessors

    /** Returns the row by which this gateway announces itself. */
    public RowId row() {
        return new RowId(TABLE, "", mOwnNode);
    }

    /** Returns the value of the row by which this gateway announces itself. */
    public String announcement() {
        return RowJson.encode(
                new Announcement(mOwnAddress.getAddress().getHostAddress(), mOwnAddress.getPort()));
    }

    /** Returns the number of peers that are known. */
    public synchronized int size() {
        return mPeers.size();
    }

    /** Returns the store as each peer that may reach it passes calls on. */
    public synchronized List<RowStore> stores() {
        long nowNanos = System.nanoTime();
        List<RowStore> stores = new ArrayList<>();
        mPeers.values().stream().filter(peer -> peer.reachesStore(nowNanos)).forEach(stores::add);
        return stores;
    }

    /**
     * Returns the gateway that all gateways with the same knowledge choose for a key; empty if it
     * is this one.
     */
    synchronized Optional<PeerClient> chosenFor(String key) {
        String highest = mOwnNode;
        for (String node : mAnnounced.keySet()) {
            if (RendezvousHash.rank(key, node) > RendezvousHash.rank(key, highest)) {
                highest = node;
            }
        }
        return highest.equals(mOwnNode)
                ? Optional.empty()
                : Optional.ofNullable(mPeers.get(mAnnounced.get(highest)));
    }

    // Operations

    /** Adds addresses of other gateways, which may be stale. */
    public synchronized void addSeeds(List<InetSocketAddress> seeds) {
        seeds.forEach(this::add);
    }

    @Override
    public synchronized void replaced(List<StoredRow> rows) {
        rows.forEach(this::announced);
    }

    @Override
    public synchronized void changed(List<RowChange> changes) {
        for (RowChange change : changes) {
            switch (change) {
                case RowChange.Written written -> announced(written.row());
                case RowChange.Removed removed -> remove(removed.id().key());
            }
        }
    }

    @Override
    public void lost(String reason) {
        // The feeds of configuration and targets log the loss of the store.
    }

    @Override
    public void regained(long outageMillis) {
        // The feeds of configuration and targets log the return of the store.
    }

    // Helpers

    private void announced(StoredRow row) {
        Announcement announcement;
        try {
            announcement = RowJson.decode(row.id().toString(), row.value(), Announcement.class);
        } catch (IllegalStateException e) {
            mLog.warn("gateway entry unreadable")
                    .text("key", row.id().key())
                    .text("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        InetSocketAddress address = new InetSocketAddress(announcement.host(), announcement.port());
        InetSocketAddress before = mAnnounced.put(row.id().key(), address);
        if (before != null && !before.equals(address)) {
            close(before);
        }
        add(address);
    }

    private void remove(String node) {
        Optional.ofNullable(mAnnounced.remove(node)).ifPresent(this::close);
    }

    private void add(InetSocketAddress address) {
        if (!address.equals(mOwnAddress)) {
            mPeers.computeIfAbsent(address, key -> new PeerClient(new HttpCaller(mLoop, address)));
        }
    }

    private void close(InetSocketAddress address) {
        Optional.ofNullable(mPeers.remove(address)).ifPresent(PeerClient::close);
    }
}
