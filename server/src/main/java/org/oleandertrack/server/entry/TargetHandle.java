package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.protocol.PeerConnection;

/**
 * A target with the latest entry of its sidecar in the host list and the connection to the sidecar.
 * Thread safe.
 */
final class TargetHandle {

    private final AtomicReference<PeerConnection> mConnection = new AtomicReference<>();
    private volatile HostEntry mHostEntry;
    private volatile boolean mAnnouncedLeaving;

    TargetHandle(HostEntry hostEntry) {
        mHostEntry = hostEntry;
    }

    // Operations

    void setHostEntry(HostEntry hostEntry) {
        mHostEntry = hostEntry;
    }

    /**
     * Replaces the connection. An earlier announcement of leaving is discarded, because the new
     * connection may lead to a new incarnation of the sidecar.
     */
    void setConnection(PeerConnection connection) {
        mAnnouncedLeaving = false;
        mConnection.set(connection);
    }

    void clearConnection(PeerConnection connection) {
        mConnection.compareAndSet(connection, null);
    }

    /** Records that the connected sidecar has announced that it is leaving. */
    void markLeaving() {
        mAnnouncedLeaving = true;
    }

    // Accessors

    HostEntry hostEntry() {
        return mHostEntry;
    }

    /** Returns the id of the sidecar's host. */
    String node() {
        return mHostEntry.hostId();
    }

    String name() {
        return mHostEntry.target();
    }

    String zone() {
        return mHostEntry.zone();
    }

    Optional<PeerConnection> connection() {
        return Optional.ofNullable(mConnection.get());
    }

    /** Tells whether the connected sidecar has the given incarnation. */
    boolean hasIncarnation(long incarnation) {
        return connection()
                .filter(connection -> connection.peer().getIncarnation() == incarnation)
                .isPresent();
    }

    /** Tells whether the sidecar or the host list has announced that the target is leaving. */
    boolean isLeaving() {
        return mAnnouncedLeaving || mHostEntry.leaving();
    }

    /** Tells whether new calls may be sent to the target. */
    boolean isAvailable() {
        return mConnection.get() != null && !isLeaving();
    }

    /** Returns the models that the target serves, or the service that it provides. */
    List<String> destinations() {
        List<String> destinations = new ArrayList<>();
        for (String model : mHostEntry.models().split(",", -1)) {
            if (!model.isEmpty()) {
                destinations.add(model);
            }
        }
        if (!mHostEntry.service().isEmpty()) {
            destinations.add(mHostEntry.service());
        }
        return destinations;
    }
}
