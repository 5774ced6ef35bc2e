import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private Http() {}

    /** A start line and header fields. */
    record Head(String startLine, List<String[]> fields) {
        Optional<String> field(String name) {
            return fields.stream()
                    .filter(field -> field[0].equalsIgnoreCase(name))
                    .map(field -> field[1])
                    .findFirst();
        }

        /** Returns a word of the start line, counted from 0. */
        String word(int index) {
            return startLine.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Returns the next head, or null if the connection has ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        List<String[]> fields = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(startLine, fields);
            }
            int colon = line.indexOf(':');
            fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    /** Reads the body of a request, which has a length, is chunked or is empty. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(in, head, false, body::write);
        return body.toByteArray();
    }

    /** Receives parts of a body. */
    interface Sink {
        void accept(byte[] bytes, int offset, int length) throws IOException;
    }

    /**
     * Reads a body and passes on each part as it arrives.
     *
     * @param untilEnd whether a body without a length ends with its connection
     */
    static void readBody(InputStream in, Head head, boolean untilEnd, Sink sink)
            throws IOException {
        if (head.field("Transfer-Encoding").orElse("").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended within a chunked body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                copy(in, length, sink);
                readLine(in);
                if (length == 0) {
                    return;
                }
            }
        }
        Optional<String> length = head.field("Content-Length");
        if (length.isPresent()) {
            copy(in, Integer.parseInt(length.get()), sink);
            return;
        }
        byte[] buffer = new byte[8192];
        int count;
        while (untilEnd && (count = in.read(buffer)) >= 0) {
            sink.accept(buffer, 0, count);
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void copy(InputStream in, int length, Sink sink) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("the connection ended with " + left + " bytes missing");
            }
            sink.accept(buffer, 0, count);
            left -= count;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
        }
        if (line.size() > 0) {
            throw new EOFException("the connection ended within a line");
        }
        return null;
    }
}
