package org.oleandertrack.core.admission;

import org.oleandertrack.core.result.ResultCode;

/** Outcome of {@link AdmissionControl#admit}. */
public sealed interface AdmissionResult {

    /** The program is admitted, including all its calls. */
    record Admitted() implements AdmissionResult {}

    /** The program is refused, and none of its calls ran. */
    record Refused(ResultCode code, long retryAfterMillis) implements AdmissionResult {}
}
