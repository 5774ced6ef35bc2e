package org.oleandertrack.core.admission;

import org.oleandertrack.core.result.ResultCode;

/** Outcome of {@link AdmissionControl#admit}. */
public sealed interface AdmissionResult {

    /** The program is admitted, and all its calls are. */
    record Admitted() implements AdmissionResult {}

    /**
     * The program is refused before any of its calls ran.
     *
     * @param code {@link ResultCode#OVERLOADED} or {@link ResultCode#ORGANISATION_LIMIT_REACHED}
     * @param retryAfterMillis time after which another attempt may succeed, in milliseconds
     */
    record Refused(ResultCode code, long retryAfterMillis) implements AdmissionResult {}
}
