package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;

/** A replayed answer must equal the first one byte for byte. */
final class StoredAnswerTest {

    private static final ResponseHead HEAD =
            ResponseHead.newBuilder()
                    .setStatus(201)
                    .addHeaders(header("Set-Cookie", "a"))
                    .addHeaders(header("Set-Cookie", "b \"quoted\""))
                    .build();

    /** Guards against text that changes through the JSON encoding. */
    @Test
    void textSurvives() {
        assertRoundTrip(ByteString.copyFromUtf8("Pärn \uD83D\uDEA4 \"\\\u0000\u001f\r\n\u2028"));
    }

    /** Guards against bytes that are not UTF-8 and are replaced in the record. */
    @Test
    void binarySurvives() {
        byte[] bytes = new byte[256];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) i;
        }
        assertRoundTrip(ByteString.copyFrom(bytes));
        assertRoundTrip(ByteString.copyFrom(new byte[] {(byte) 0xed, (byte) 0xa0, (byte) 0x80}));
    }

    /** Guards against an empty body that is sent as a part, or is read as absent. */
    @Test
    void emptyBodySurvives() {
        assertRoundTrip(ByteString.EMPTY);
        RecordingSink sink = new RecordingSink();
        new StoredAnswer(HEAD, ByteString.EMPTY).sendTo(sink);
        assertEquals(1, sink.heads().size());
        assertEquals(1, sink.ends());
    }

    /** Guards against a damaged record that is replayed as an empty answer. */
    @Test
    void damagedRecordIsRefused() {
        assertThrows(UncheckedIOException.class, () -> StoredAnswer.decode("{\"status\":200"));
    }

    private static void assertRoundTrip(ByteString body) {
        StoredAnswer answer = new StoredAnswer(HEAD, body);
        assertEquals(answer, StoredAnswer.decode(answer.encode()));
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }
}
