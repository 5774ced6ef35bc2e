package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.message.Usage;

/** Tests the extraction of the token counts that are charged to a program's budget. */
final class UsageScannerTest {

    private static final String USAGE =
            "\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":5,"
                    + "\"prompt_tokens_details\":{\"cached_tokens\":3}}";
    private static final Usage EXPECTED =
            Usage.newBuilder()
                    .setPromptTokens(11)
                    .setGeneratedTokens(5)
                    .setCachedPromptTokens(3)
                    .build();

    private final UsageScanner mScanner = new UsageScanner(new ObjectMapper());

    /** Guards against a response without streaming whose tokens are not charged. */
    @Test
    void usageIsFoundInAResponseWithoutStreaming() {
        add("{\"choices\":[{\"message\":{\"content\":\"a\"}}]," + USAGE + "}");
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against usage that is missed when chunks split it or after a long response. */
    @Test
    void usageIsFoundInSingleByteChunksAfterALongResponse() {
        add("data: {\"x\":\"" + "y".repeat(100_000) + "\",\"usage\":null}\n\n");
        for (char c : ("data: {\"choices\":[]," + USAGE + "}\n\ndata: [DONE]\n\n").toCharArray()) {
            add(String.valueOf(c));
        }
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against generated text that contains a usage object and is taken for the usage. */
    @Test
    void quotedUsageInsideTheTextIsIgnored() {
        add("{" + USAGE + ",\"content\":\"\\\"usage\\\":{\\\"prompt_tokens\\\":0}\"}");
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against a truncated stream whose next event is taken for a usage of 0 tokens. */
    @Test
    void nullUsageBeforeAnotherEventIsNoUsage() {
        add("data: {\"usage\":null}\n\ndata: {\"choices\":[]}\n\n");
        assertTrue(mScanner.usage().isEmpty());
    }

    /** Guards against a call that fails because its response has no usage or a truncated one. */
    @Test
    void missingOrTruncatedUsageIsEmpty() {
        assertTrue(mScanner.usage().isEmpty());
        add("{\"a\":1}");
        assertTrue(mScanner.usage().isEmpty());
        add("\"usage\"");
        assertTrue(mScanner.usage().isEmpty());
        add(":{\"prompt_tokens\":1");
        assertTrue(mScanner.usage().isEmpty());
    }

    private void add(String text) {
        mScanner.add(ByteString.copyFromUtf8(text));
    }
}
