package org.oleandertrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what a process has used, from the kernel's figures. */
final class ProcessFigures {

    private static final int USER_TICKS_FIELD = 13;
    private static final int SYSTEM_TICKS_FIELD = 14;
    private static final long MICROS_PER_TICK = 10_000;

    private ProcessFigures() {}

    /** Returns the processor time used so far, in microseconds. */
    static long cpuMicros(ManagedProcess process) throws IOException {
        String stat = Files.readString(file(process, "stat"));
        // The name of the program stands in parentheses and can contain blanks.
        String[] fields = stat.substring(stat.lastIndexOf(')') - 1).split(" ", -1);
        long ticks =
                Long.parseLong(fields[USER_TICKS_FIELD - 1])
                        + Long.parseLong(fields[SYSTEM_TICKS_FIELD - 1]);
        return ticks * MICROS_PER_TICK;
    }

    /** Returns the resident memory in kilobytes. */
    static long residentKilobytes(ManagedProcess process) throws IOException {
        return Files.readAllLines(file(process, "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .map(line -> line.replaceAll("\\D", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }

    private static Path file(ManagedProcess process, String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }
}
