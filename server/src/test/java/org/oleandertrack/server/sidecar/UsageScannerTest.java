package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.message.Usage;

/** The token counts that the budget is charged with. */
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

    /** Guards against a whole answer whose tokens are not charged. */
    @Test
    void wholeAnswer() {
        add("{\"choices\":[{\"message\":{\"content\":\"a\"}}]," + USAGE + "}");
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against usage that is missed when parts cut it, or after a long answer. */
    @Test
    void streamInSingleBytesAfterALongAnswer() {
        add("data: {\"x\":\"" + "y".repeat(100_000) + "\",\"usage\":null}\n\n");
        for (char c : ("data: {\"choices\":[]," + USAGE + "}\n\ndata: [DONE]\n\n").toCharArray()) {
            add(String.valueOf(c));
        }
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against generated text that sets the token counts. */
    @Test
    void quotedUsageInsideTheTextIsIgnored() {
        add("{" + USAGE + ",\"content\":\"\\\"usage\\\":{\\\"prompt_tokens\\\":0}\"}");
        assertEquals(EXPECTED, mScanner.usage().orElseThrow());
    }

    /** Guards against a broken stream whose next event is read as usage of 0 tokens. */
    @Test
    void nullUsageBeforeAnotherEventIsNoUsage() {
        add("data: {\"usage\":null}\n\ndata: {\"choices\":[]}\n\n");
        assertTrue(mScanner.usage().isEmpty());
    }

    /** Guards against a failure of the call because its answer carries no or half a usage. */
    @Test
    void missingOrCutUsageIsEmpty() {
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
