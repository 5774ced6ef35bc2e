package org.oleandertrack.gateway.targets;

import java.util.HashMap;
import java.util.Map;
import org.oleandertrack.coordination.stream.SoftwareVersions;
import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.core.discovery.RemovalReason;
import org.oleandertrack.core.discovery.TargetListener;
import org.oleandertrack.core.discovery.TargetRecord;

/**
 * Passes on changes of targets, but a new target only once the version of its software is
 * registered, so that no stream begins at an unregistered one. Thread-safe.
 */
public final class RegisteredTargets implements TargetListener {

    private final SoftwareVersions mVersions;
    private final TargetListener mListener;
    private final Map<String, TargetRecord> mWaiting = new HashMap<>();
    private boolean mSettled;

    /** Creates an instance that passes changes on to a listener. */
    public RegisteredTargets(SoftwareVersions versions, TargetListener listener) {
        mVersions = versions;
        mListener = listener;
    }

    /**
     * Returns whether there was a moment at which no target waited. Asked once the targets have
     * been read, so that a host is not ready before it can use them.
     */
    public synchronized boolean hasSettled() {
        mSettled |= mWaiting.isEmpty();
        return mSettled;
    }

    @Override
    public void onAdded(TargetRecord target) {
        synchronized (this) {
            mWaiting.put(target.id(), target);
        }
        mVersions.register(
                new StreamOrigin(target.service(), target.softwareVersion()),
                () -> onRegistered(target));
    }

    @Override
    public synchronized void onChanged(TargetRecord target) {
        if (mWaiting.replace(target.id(), target) == null) {
            mListener.onChanged(target);
        }
    }

    @Override
    public synchronized void onRemoved(TargetRecord target, RemovalReason reason) {
        if (mWaiting.remove(target.id()) == null) {
            mListener.onRemoved(target, reason);
        }
    }

    private synchronized void onRegistered(TargetRecord target) {
        TargetRecord waiting = mWaiting.get(target.id());
        if (waiting != null && waiting.isSameIncarnation(target)) {
            mWaiting.remove(target.id());
            mListener.onAdded(waiting);
        }
    }
}
