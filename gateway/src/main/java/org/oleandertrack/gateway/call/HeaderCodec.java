package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.oleandertrack.core.organisation.KeyDigest;
import org.oleandertrack.core.result.ResultException;

/**
 * Decodes and encodes the HTTP headers that a platform defines. The names of these headers are
 * known only to the implementations, which are thread-safe.
 */
public interface HeaderCodec {

    /**
     * Decodes the headers of a caller's request.
     *
     * @throws ResultException if a header is malformed
     */
    CallMetadata decodeRequest(HttpHeaders headers);

    /**
     * Returns the digest of the access key that a caller's request carries; empty if it carries
     * none, or several.
     */
    Optional<KeyDigest> readAccessKey(HttpHeaders headers);

    /**
     * Writes instructions into the headers of a request for a target, and removes headers of the
     * caller that only the gateway may set.
     */
    void writeInstructions(HttpHeaders headers, TargetInstructions instructions);

    /** Decodes the headers of a target's response. */
    ResponseMetadata decodeResponse(HttpHeaders headers);

    /** Writes the request id into the headers of a response that the gateway itself creates. */
    void writeRequestId(HttpHeaders headers, String requestId);
}
