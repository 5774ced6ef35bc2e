package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import org.oleandertrack.core.result.ResultException;

/**
 * Translates between the headers of callers and targets and typed values. Implementations are
 * thread-safe.
 */
public interface CallDialect {

    /**
     * Reads the headers of a caller's request.
     *
     * @throws ResultException if a header is malformed
     */
    CallFacts readCall(HttpHeaders headers);

    /**
     * Adds instructions to the headers of a request for a target, and removes headers that only the
     * gateway may set.
     */
    void writeInstructions(HttpHeaders headers, TargetInstructions instructions);

    /** Reads the headers of a target's answer. */
    AnswerFacts readAnswer(HttpHeaders headers);

    /** Puts the id of the request into the headers of an answer of the gateway itself. */
    void writeRequestId(HttpHeaders headers, String requestId);
}
