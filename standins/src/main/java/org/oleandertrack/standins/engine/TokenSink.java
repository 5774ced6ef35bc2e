package org.oleandertrack.standins.engine;

import java.io.IOException;

/** Receives the tokens of an answer while they are generated. Used by one thread. */
interface TokenSink {

    /** Receives a token; index 0 is the first. */
    void onToken(int index, String text) throws IOException;

    /** Completes the answer after its last token. */
    void onEnd(Usage usage) throws IOException;

    /** The token counts of a request. */
    record Usage(long promptTokens, long cachedTokens, int completionTokens) {}
}
