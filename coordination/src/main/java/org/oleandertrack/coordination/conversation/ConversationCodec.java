package org.oleandertrack.coordination.conversation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32;

/**
 * Encodes a conversation as the values of one or more rows. The first value begins with a line that
 * states the format's version, the number of rows, the length in bytes and a checksum. Each byte of
 * the text is one character, so that text which is mostly ASCII does not grow.
 */
final class ConversationCodec {

    private static final String VERSION = "1";
    // A row of the platform holds 65,536 bytes. The first one also holds the header line.
    private static final int MAX_PIECE_BYTES = 64_000;
    private static final int HEADER_FIELDS = 4;
    private static final int ASCII_LIMIT = 128;

    private ConversationCodec() {}

    /** Returns the values of the rows, at least one. */
    static List<String> encode(Conversation conversation) {
        byte[] text = conversation.text();
        List<String> pieces = new ArrayList<>();
        int start = 0;
        do {
            int end = pieceEnd(text, start);
            pieces.add(new String(text, start, end - start, StandardCharsets.ISO_8859_1));
            start = end;
        } while (start < text.length);
        String header =
                String.format(
                        Locale.ROOT,
                        "%s %d %d %08x\n",
                        VERSION,
                        pieces.size(),
                        text.length,
                        checksum(text));
        pieces.set(0, header + pieces.getFirst());
        return pieces;
    }

    /**
     * Returns the number of rows of a conversation.
     *
     * @throws IllegalArgumentException if the first value has no valid header
     */
    static int pieceCount(String firstValue) {
        return parseInt(header(firstValue)[1]);
    }

    /**
     * Decodes the values of all rows.
     *
     * @throws IllegalArgumentException if the values are not those of one conversation
     */
    static Conversation decode(List<String> values) {
        String[] header = header(values.getFirst());
        StringBuilder text = new StringBuilder();
        text.append(
                values.getFirst(), values.getFirst().indexOf('\n') + 1, values.getFirst().length());
        values.subList(1, values.size()).forEach(text::append);
        byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length != parseInt(header[2])) {
            throw new IllegalArgumentException(bytes.length + " bytes instead of " + header[2]);
        }
        if (!header[3].equals(String.format(Locale.ROOT, "%08x", checksum(bytes)))) {
            throw new IllegalArgumentException("the checksum does not match");
        }
        return Conversation.of(bytes);
    }

    // A byte of 128 or more takes two bytes in the row, which is encoded as UTF-8.
    private static int pieceEnd(byte[] text, int start) {
        int sizeBytes = 0;
        int end = start;
        while (end < text.length) {
            sizeBytes += (text[end] & 0xff) < ASCII_LIMIT ? 1 : 2;
            if (sizeBytes > MAX_PIECE_BYTES) {
                break;
            }
            end++;
        }
        return end;
    }

    private static String[] header(String firstValue) {
        int lineEnd = firstValue.indexOf('\n');
        String[] fields = firstValue.substring(0, Math.max(0, lineEnd)).split(" ", -1);
        if (fields.length != HEADER_FIELDS || !fields[0].equals(VERSION)) {
            throw new IllegalArgumentException("the value has no header of version " + VERSION);
        }
        return fields;
    }

    private static int parseInt(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the header contains '" + text + "'", e);
        }
    }

    private static long checksum(byte[] text) {
        CRC32 checksum = new CRC32();
        checksum.update(text);
        return checksum.getValue();
    }
}
