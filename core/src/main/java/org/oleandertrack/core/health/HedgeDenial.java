package org.oleandertrack.core.health;

import java.util.Locale;

/** Why a late request is not sent to a second target. */
public enum HedgeDenial {
    /** The request must not run twice. */
    NOT_REPEATABLE,
    /** The request is a turn that continues a stored conversation. */
    STORED_CONVERSATION,
    /** The caller already has a part of the response. */
    RESPONSE_STARTED,
    /** An earlier send of the request failed after it may have run. */
    EARLIER_FAILURE,
    /** The request was sent to as many targets as its route allows. */
    ATTEMPTS_USED_UP,
    /** Requests like this one may be the cause of known crashes of targets. */
    CRASH_SUSPECT,
    /** The caller's key may have been revoked since the call was admitted. */
    CALLER_REFUSED,
    /** The process is stopping. */
    STOPPING,
    /** The deadline is too near. */
    DEADLINE_NEAR,
    /** The targets of the service have too few free slots. */
    SERVICE_FULL,
    /** No other target may get it: it is failing, avoided, full or limits its rate. */
    NO_TARGET,
    /** The limit on hedged requests is reached. */
    LIMIT_REACHED;

    /** Returns the name in logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
