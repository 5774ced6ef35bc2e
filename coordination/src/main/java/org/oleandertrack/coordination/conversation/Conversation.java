package org.oleandertrack.coordination.conversation;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The text of a conversation up to and including one turn: for each turn, oldest first, its input
 * and the data of its events. Immutable.
 */
public final class Conversation {

    /** A conversation without turns. */
    public static final Conversation EMPTY = new Conversation(new byte[0]);

    private final byte[] mText;

    private Conversation(byte[] text) {
        mText = text;
    }

    // Factories

    /** Returns a conversation with the given text. The array is not copied. */
    public static Conversation of(byte[] text) {
        return new Conversation(text);
    }

    /** Returns a conversation whose text is given as one character for each byte. */
    public static Conversation ofCharacters(String characters) {
        return new Conversation(characters.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns this conversation followed by one more turn. */
    public Conversation append(byte[] input, byte[] output) {
        byte[] text = Arrays.copyOf(mText, mText.length + input.length + output.length);
        System.arraycopy(input, 0, text, mText.length, input.length);
        System.arraycopy(output, 0, text, mText.length + input.length, output.length);
        return new Conversation(text);
    }

    // Accessors

    /** Returns the text. The array is not copied and must not be changed. */
    public byte[] text() {
        return mText;
    }

    /** Returns the text as one character for each byte, for messages that consist of characters. */
    public String toCharacters() {
        return new String(mText, StandardCharsets.ISO_8859_1);
    }

    public int sizeBytes() {
        return mText.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Conversation that && Arrays.equals(mText, that.mText);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mText);
    }

    @Override
    public String toString() {
        return "Conversation[" + mText.length + " bytes]";
    }
}
