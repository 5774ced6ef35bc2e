package org.oleandertrack.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleandertrack.protocol.message.Usage;

/**
 * Extracts the token usage from the body of a chat completion response, whether it is one JSON
 * object or an event stream. Keeps only the last bytes of the body, because both formats carry the
 * usage there. Not thread safe.
 */
final class UsageScanner {

    /** Much larger than the last event of a stream before {@code [DONE]}, which has the usage. */
    private static final int MAX_TAIL_BYTES = 8 << 10;

    private static final String USAGE_FIELD = "\"usage\"";
    private static final Pattern OBJECT_START = Pattern.compile("\\s*:\\s*\\{");

    private final ObjectMapper mMapper;
    private ByteString mTail = ByteString.EMPTY;

    UsageScanner(ObjectMapper mapper) {
        mMapper = mapper;
    }

    /** Adds the next chunk of the response body. */
    void add(ByteString data) {
        ByteString joined = mTail.concat(data);
        int excess = Math.max(0, joined.size() - MAX_TAIL_BYTES);
        mTail = joined.substring(excess);
    }

    /** Returns the usage if the body so far contains one. */
    Optional<Usage> usage() {
        String text = mTail.toString(StandardCharsets.UTF_8);
        int fieldIndex = text.lastIndexOf(USAGE_FIELD);
        if (fieldIndex < 0) {
            return Optional.empty();
        }
        Matcher objectStart =
                OBJECT_START.matcher(text).region(fieldIndex + USAGE_FIELD.length(), text.length());
        if (!objectStart.lookingAt()) {
            return Optional.empty();
        }
        try (var parser = mMapper.createParser(text.substring(objectStart.end() - 1))) {
            JsonNode node = mMapper.readTree(parser);
            return Optional.of(toUsage(node));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Usage toUsage(JsonNode node) {
        return Usage.newBuilder()
                .setPromptTokens(node.path("prompt_tokens").asLong())
                .setGeneratedTokens(node.path("completion_tokens").asLong())
                .setCachedPromptTokens(
                        node.path("prompt_tokens_details").path("cached_tokens").asLong())
                .build();
    }
}
