package org.oleandertrack.standins.engine;

import java.io.IOException;

/** Takes the parts of an answer while they are generated. Used by one thread. */
interface TokenSink {

    /** Takes a token; index 0 is the first. */
    void token(int index, String text) throws IOException;

    /** Takes the end of a complete answer. */
    void end(Usage usage) throws IOException;

    /** The token counts of a request. */
    record Usage(long promptTokens, long cachedTokens, int completionTokens) {}
}
