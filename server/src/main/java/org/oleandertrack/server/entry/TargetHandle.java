package org.oleandertrack.server.entry;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.oleandertrack.coordination.membership.HostEntry;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Load;

/** A target as this entry host sees it. Thread safe. */
final class TargetHandle {

    private final AtomicInteger mInFlight = new AtomicInteger();
    private volatile HostEntry mHost;
    private final AtomicReference<PeerConnection> mConnection = new AtomicReference<>();
    private volatile boolean mSaidLeaving;
    private volatile Load mLoad = Load.getDefaultInstance();

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

    void callStarted() {
        mInFlight.incrementAndGet();
    }

    void callEnded(Optional<Load> load) {
        mInFlight.decrementAndGet();
        load.ifPresent(value -> mLoad = value);
    }

    void loadReported(Load load) {
        mLoad = load;
    }

    // Accessors

    HostEntry host() {
        return mHost;
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

    boolean isLeaving() {
        return mSaidLeaving || mHost.leaving();
    }

    /** Tells whether new work may be sent there. */
    boolean isAvailable() {
        return mConnection.get() != null && !isLeaving();
    }

    int inFlight() {
        return mInFlight.get();
    }

    Load load() {
        return mLoad;
    }

    /** Tells whether the target serves a model or provides a service. */
    boolean serves(String destination) {
        return destination.equals(mHost.service())
                || Arrays.asList(mHost.models().split(",", -1)).contains(destination);
    }
}
