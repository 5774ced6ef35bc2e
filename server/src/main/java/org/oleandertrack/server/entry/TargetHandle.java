package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.protocol.PeerConnection;

/** A target as this entry host sees it. Thread safe. */
final class TargetHandle {

    private final AtomicReference<PeerConnection> mConnection = new AtomicReference<>();
    private volatile HostEntry mHost;
    private volatile boolean mSaidLeaving;

    TargetHandle(HostEntry host) {
        mHost = host;
    }

    // Operations

    void update(HostEntry host) {
        mHost = host;
    }

    /** Takes a new connection; a new incarnation has not said that it leaves. */
    void connected(PeerConnection connection) {
        mSaidLeaving = false;
        mConnection.set(connection);
    }

    void disconnected(PeerConnection connection) {
        mConnection.compareAndSet(connection, null);
    }

    void markLeaving() {
        mSaidLeaving = true;
    }

    // Accessors

    HostEntry host() {
        return mHost;
    }

    /** Returns the name of the sidecar's host. */
    String node() {
        return mHost.hostId();
    }

    String name() {
        return mHost.target();
    }

    String zone() {
        return mHost.zone();
    }

    Optional<PeerConnection> connection() {
        return Optional.ofNullable(mConnection.get());
    }

    /** Tells whether the connected process is the one with the given incarnation. */
    boolean isIncarnation(long incarnation) {
        return connection()
                .filter(connection -> connection.peer().getIncarnation() == incarnation)
                .isPresent();
    }

    boolean isLeaving() {
        return mSaidLeaving || mHost.leaving();
    }

    /** Tells whether new work may be sent there. */
    boolean isAvailable() {
        return mConnection.get() != null && !isLeaving();
    }

    /** Returns the models that the target serves, or the service that it provides. */
    List<String> destinations() {
        List<String> destinations = new ArrayList<>();
        for (String model : mHost.models().split(",", -1)) {
            if (!model.isEmpty()) {
                destinations.add(model);
            }
        }
        if (!mHost.service().isEmpty()) {
            destinations.add(mHost.service());
        }
        return destinations;
    }
}
