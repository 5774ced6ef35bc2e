package org.oleandertrack.system.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The scenarios that are known to fail: those that KNOWN-RED.txt in the root of the repository
 * lists with a line that starts with {@code scenario NAME:}.
 */
final class KnownFailures {

    private final String mText;

    KnownFailures(Path root) {
        Path file = root.resolve("KNOWN-RED.txt");
        try {
            mText = Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean contains(String scenario) {
        return mText.lines().anyMatch(line -> line.startsWith("scenario " + scenario + ":"));
    }
}
