package org.oleandertrack.server.entry;

import java.io.IOException;
import java.io.InputStream;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Reads request bodies up to a maximum size. Thread safe. */
final class RequestBodyReader {

    private final int mMaxBodyBytes;

    RequestBodyReader(int maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns the whole body.
     *
     * @throws ResultException if the body is too large or the caller closes the connection early
     */
    byte[] read(InputStream input) {
        try {
            byte[] body = input.readNBytes(mMaxBodyBytes + 1);
            if (body.length <= mMaxBodyBytes) {
                return body;
            }
        } catch (IOException e) {
            throw new ResultException(
                    ResultCode.CANCELLED,
                    Execution.NOT_RUN,
                    "the request body ended early: " + e.getMessage(),
                    0);
        }
        throw new ResultException(
                ResultCode.BODY_TOO_LARGE, "the limit is " + mMaxBodyBytes + " bytes");
    }
}
