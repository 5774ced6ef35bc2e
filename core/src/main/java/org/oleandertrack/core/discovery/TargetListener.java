package org.oleandertrack.core.discovery;

/**
 * Receives changes of a {@link TargetDirectory}. Methods are called while the directory's lock is
 * held.
 */
public interface TargetListener {

    /** A target, or a new incarnation of it, may get work. */
    void onAdded(TargetRecord target);

    /** Properties of a target changed, but not its incarnation. */
    void onChanged(TargetRecord target);

    /** A target or an incarnation of it gets no more work. */
    void onRemoved(TargetRecord target, RemovalReason reason);
}
