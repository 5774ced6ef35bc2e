package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that are split differently, or at a higher cost, when cut differently. */
final class EventSplitterTest {

    private static final int TOTAL_BYTES = 64 * 1024;
    private static final int MAX_OPERATIONS_PER_BYTE = 16;

    /** A buffer that counts the bytes that are read one by one and the bytes that are moved. */
    private static final class CountingBuffer extends UnpooledHeapByteBuf {
        private long mOperations;

        private CountingBuffer() {
            super(UnpooledByteBufAllocator.DEFAULT, 0, Integer.MAX_VALUE);
        }

        @Override
        public byte getByte(int index) {
            mOperations++;
            return super.getByte(index);
        }

        @Override
        public ByteBuf discardReadBytes() {
            mOperations += readableBytes();
            return super.discardReadBytes();
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static List<String> split(EventSplitter splitter, String stream, int partLength) {
        List<String> events = new ArrayList<>();
        for (int start = 0; start < stream.length(); start += partLength) {
            int end = Math.min(stream.length(), start + partLength);
            splitter.add(bytes(stream.substring(start, end)));
            for (Optional<EventSplitter.Event> event = splitter.next();
                    event.isPresent();
                    event = splitter.next()) {
                String text = event.get().bytes().toString(StandardCharsets.UTF_8);
                events.add(
                        (event.get().isComment() ? "comment " : "event ")
                                + event.get().id().orElse("")
                                + "|"
                                + text);
            }
        }
        return events;
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", ":\n\n", "id:1\n\n", "data: x\n", "data: a line\r\n\r\n"})
    void theWorkIsProportionalToTheBytes(String repeated) {
        String stream = repeated.repeat(TOTAL_BYTES / repeated.length());
        for (int partLength : new int[] {1, 7, 1_024, TOTAL_BYTES}) {
            CountingBuffer buffer = new CountingBuffer();
            split(new EventSplitter(buffer), stream, partLength);
            long limit = (long) MAX_OPERATIONS_PER_BYTE * TOTAL_BYTES;
            assertTrue(
                    buffer.mOperations <= limit,
                    buffer.mOperations + " operations in parts of " + partLength + " bytes");
        }
    }

    @Test
    void theEventsDoNotDependOnHowTheStreamIsCut() {
        String stream =
                "\n\r\nid: 1\ndata: a\n\n\n:\n\nversion: 3\r\nid: 2\r\ndata: b\r\ndata: ü\r\n\r\n"
                        + ": note\nid:3\n\ndata: c\n\nid: 4\ndata: rest";
        List<String> expected =
                List.of(
                        "event 1|id: 1\ndata: a\n\n",
                        "comment |:\n\n",
                        "event 2|version: 3\r\nid: 2\r\ndata: b\r\ndata: ü\r\n\r\n",
                        "event 3|: note\nid:3\n\n",
                        "event |data: c\n\n");
        for (int partLength = 1; partLength <= stream.length(); partLength++) {
            EventSplitter splitter = new EventSplitter(Unpooled.buffer(0));
            assertEquals(expected, split(splitter, stream, partLength));
            assertTrue(splitter.hasPartialEvent());
        }
    }

    @Test
    void onlyBytesWithoutAnEventCountTowardsTheLimit() {
        EventSplitter splitter = new EventSplitter(Unpooled.buffer(0));
        split(splitter, "\n".repeat(200 * 1_024), 1_024);
        assertFalse(splitter.isWithoutEvents());
        split(splitter, "data: x\n\n" + ":\n\n".repeat(50 * 1_024), 1_024);
        assertFalse(splitter.isWithoutEvents());
        split(splitter, "\n".repeat(150 * 1_024), 1_024);
        assertTrue(splitter.isWithoutEvents());
    }

    /** Guards against the head of a second response that is forwarded as an event. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\n",
                "d",
                "data: b",
                "data: b\n",
                "id: 2\ndata: b\r\n",
                ":",
                "x-version: 2\ndata: b"
            })
    void theHeadOfAnotherResponseIsNoEvent(String unfinished) {
        String stream =
                "id: 1\ndata: a\n\n"
                        + unfinished
                        + "HTTP/1.1 200 OK\r\nAge: 1\r\n\r\nid: 2\ndata: b\n\n";
        for (int partLength = 1; partLength <= stream.length(); partLength++) {
            EventSplitter splitter = new EventSplitter(Unpooled.buffer(0));
            assertEquals(
                    List.of("event 1|id: 1\ndata: a\n\n"), split(splitter, stream, partLength));
            assertTrue(splitter.isWithoutEvents());
            assertTrue(splitter.hasPartialEvent());
        }
    }

    @Test
    void aStatusLineInTheTextOfAnEventIsForwarded() {
        String event =
                """
                version: 1
                : HTTP/1.1 200 OK
                event: text
                data: HTTP/1.1 200 OK
                data: HTTP/1.1 404
                id: 2
                retry: 5

                """;
        EventSplitter splitter = new EventSplitter(Unpooled.buffer(0));
        assertEquals(
                List.of("event 2|" + event, "event |data: H HTTP/1.1\n\n"),
                split(splitter, event + "data: H HTTP/1.1\n\n", 7));
        assertFalse(splitter.isWithoutEvents());
    }

    /** Guards against a sound stream that is broken off because its text names the protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: speaks HTTP/1.1\nretry\n\n",
                "data: HTTP/1.1 200 OK\ndata\n\n",
                "data: speaks HTTP/1.1\nweight-versions: 4\n\n",
                "data: HTTP/1.1 2000 times\nweight-versions: 4\n\n"
            })
    void aTextThatNamesTheProtocolIsForwarded(String event) {
        EventSplitter splitter = new EventSplitter(Unpooled.buffer(0));
        assertEquals(List.of("event |" + event), split(splitter, event, 7));
        assertFalse(splitter.isWithoutEvents());
    }
}
