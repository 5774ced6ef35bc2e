package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;

/** Tests that a stored response equals the original one byte for byte. */
final class StoredResponseTest {

    private static final ResponseHead HEAD =
            ResponseHead.newBuilder()
                    .setStatus(201)
                    .addHeaders(header("Set-Cookie", "a"))
                    .addHeaders(header("Set-Cookie", "b \"quoted\""))
                    .build();

    /** Guards against text that changes through the JSON encoding. */
    @Test
    void textRoundTrips() {
        assertRoundTrip(ByteString.copyFromUtf8("Pärn \uD83D\uDEA4 \"\\\u0000\u001f\r\n\u2028"));
    }

    /** Guards against bytes that are replaced because they are not valid UTF-8. */
    @Test
    void binaryRoundTrips() {
        byte[] bytes = new byte[256];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) i;
        }
        assertRoundTrip(ByteString.copyFrom(bytes));
        assertRoundTrip(ByteString.copyFrom(new byte[] {(byte) 0xed, (byte) 0xa0, (byte) 0x80}));
    }

    /** Guards against a response without body that is lost or not ended. */
    @Test
    void emptyBodyRoundTrips() {
        assertRoundTrip(ByteString.EMPTY);
        RecordingSink sink = new RecordingSink();
        new StoredResponse(HEAD, ByteString.EMPTY).sendTo(sink);
        assertEquals(1, sink.heads().size());
        assertEquals(1, sink.endCount());
    }

    /** Guards against a damaged record that is replayed as an empty response. */
    @Test
    void damagedRecordIsRefused() {
        assertThrows(UncheckedIOException.class, () -> StoredResponse.decode("{\"status\":200"));
    }

    private static void assertRoundTrip(ByteString body) {
        StoredResponse response = new StoredResponse(HEAD, body);
        assertEquals(response, StoredResponse.decode(response.encode()));
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }
}
