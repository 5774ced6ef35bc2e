package org.oleandertrack.standins.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A request of a {@link RawServer}.
 *
 * @param headers the headers, with names in lower case; the last one of a name counts
 */
public record RawRequest(String method, String path, Map<String, String> headers, String body) {

    private static final int MAX_LINE_BYTES = 1 << 16;
    private static final int HEX_RADIX = 16;

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Reads the next request of a connection; empty if the client has closed the connection.
     *
     * @throws IOException if the connection fails, or if its bytes are not a request
     */
    static Optional<RawRequest> read(InputStream in) throws IOException {
        Optional<String> requestLine = readLine(in);
        if (requestLine.isEmpty()) {
            return Optional.empty();
        }
        String[] parts = requestLine.get().split(" ", -1);
        if (parts.length != 3) {
            throw new IOException("malformed request line: " + requestLine.get());
        }
        Map<String, String> headers = readHeaders(in);
        return Optional.of(new RawRequest(parts[0], parts[1], headers, readBody(in, headers)));
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("malformed header: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                body.writeBytes(readBytes(in, size));
                var _ = requireLine(in);
            }
            var _ = readHeaders(in);
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body.writeBytes(readBytes(in, length));
        }
        return body.toString(StandardCharsets.UTF_8);
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(requireLine(in).split(";", 2)[0].strip(), HEX_RADIX);
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a request");
        }
        return bytes;
    }

    private static String requireLine(InputStream in) throws IOException {
        return readLine(in)
                .orElseThrow(() -> new EOFException("the connection ended within a request"));
    }

    private static Optional<String> readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return Optional.empty();
            }
            if (line.length() == MAX_LINE_BYTES) {
                throw new IOException("a line exceeds " + MAX_LINE_BYTES + " bytes");
            }
            line.append((char) next);
        }
        int end = line.length() - 1;
        return Optional.of(
                end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString());
    }
}
