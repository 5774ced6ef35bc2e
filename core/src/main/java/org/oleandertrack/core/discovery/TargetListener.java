package org.oleandertrack.core.discovery;

/** Is told about changes of a {@link TargetDirectory}, while the directory's lock is held. */
public interface TargetListener {

    /** A target, or a new incarnation of one, may get work. */
    void added(TargetRecord target);

    /** A target reports something new about the same incarnation. */
    void changed(TargetRecord target);

    /**
     * A target or an incarnation of one gets no more work.
     *
     * @param reason why, in a few fixed words
     */
    void removed(TargetRecord target, String reason);
}
