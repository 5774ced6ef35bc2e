package org.oleandertrack.telemetry.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against requests that block because the reader of standard output has stopped reading. */
final class LineOutputTest {

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aBlockedReaderBlocksNoCallerAndDroppedLinesAreCounted() throws InterruptedException {
        CountDownLatch reading = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        OutputStream blocked =
                new OutputStream() {
                    @Override
                    public void write(int next) throws IOException {
                        try {
                            reading.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                        written.write(next);
                    }
                };
        LineOutput output = new LineOutput(blocked, 100);
        Thread flush =
                Thread.startVirtualThread(
                        () -> {
                            output.offer(line("first"));
                            output.flush();
                        });
        for (int i = 0; i < 1_000; i++) {
            output.offer(line("line " + i));
        }
        reading.countDown();
        flush.join();
        output.flush();
        String text = written.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("line 0\n"), text);
        assertTrue(text.contains("\"message\":\"log lines dropped\""), text);
    }

    @Test
    void linesKeepTheirOrder() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        LineOutput output = new LineOutput(written, 10_000);
        output.offer(line("a"));
        output.offer(line("b"));
        output.flush();
        assertEquals("a\nb\n", written.toString(StandardCharsets.UTF_8));
    }
}
