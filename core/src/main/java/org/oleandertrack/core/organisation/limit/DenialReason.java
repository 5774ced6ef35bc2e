package org.oleandertrack.core.organisation.limit;

/** Decisions by which a request exceeds the limit of its organisation. */
public enum DenialReason {
    /** No permit was left at the issuer. */
    RATE,
    /** The programs already admitted need the whole limit. */
    PROGRAM_GATE,
    /** The issuer refused the host a permit shortly before. */
    RECENT_DENIAL,
    /** No issuer was reached, and no permit was left in the host's own share. */
    OWN_SHARE
}
