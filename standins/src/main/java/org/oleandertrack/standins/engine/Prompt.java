package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleandertrack.standins.http.BadRequestException;

/**
 * The messages of a request as a list of blocks, one for each message. A message counts one token
 * for its role and one for each word.
 *
 * @param requestedTokens length of the answer that the last user message asks for with {@code
 *     [tokens=N]}, or {@link Integer#MAX_VALUE} without such a text
 */
record Prompt(List<Block> blocks, int requestedTokens) {

    /** A message, identified by the digest of the messages up to and including it. */
    record Block(String digest, long tokens) {}

    private static final Pattern REQUESTED_TOKENS = Pattern.compile("\\[tokens=(\\d{1,9})]");
    private static final Pattern WORDS = Pattern.compile("\\S+");

    /**
     * Reads a message list.
     *
     * @throws BadRequestException if it is not a JSON array, is empty, or has a message without
     *     role
     */
    static Prompt parse(JsonNode messages) throws IOException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw new BadRequestException("\"messages\" is not a non-empty array");
        }
        List<Block> blocks = new ArrayList<>(messages.size());
        int requestedTokens = Integer.MAX_VALUE;
        String digest = "";
        for (JsonNode message : messages) {
            String role = message.path("role").asText("");
            if (role.isEmpty()) {
                throw new BadRequestException("a message has no role");
            }
            String content = textOf(message.path("content"));
            Block block = nextBlock(digest, role, content);
            blocks.add(block);
            digest = block.digest();
            if (role.equals("user")) {
                requestedTokens = requestedTokens(content);
            }
        }
        return new Prompt(List.copyOf(blocks), requestedTokens);
    }

    /**
     * Returns the block of a message.
     *
     * @param previousDigest digest of the messages before it; empty for the first message
     */
    static Block nextBlock(String previousDigest, String role, String content) {
        String text = previousDigest + "\n" + role + "\n" + content;
        return new Block(sha256(text), 1 + WORDS.matcher(content).results().count());
    }

    String digest() {
        return blocks.getLast().digest();
    }

    long tokenCount() {
        return blocks.stream().mapToLong(Block::tokens).sum();
    }

    private static int requestedTokens(String content) {
        Matcher matcher = REQUESTED_TOKENS.matcher(content);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : Integer.MAX_VALUE;
    }

    private static String textOf(JsonNode content) {
        if (!content.isArray()) {
            return content.asText("");
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText("")));
        return text.toString();
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] bytes = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK has no SHA-256", e);
        }
    }
}
