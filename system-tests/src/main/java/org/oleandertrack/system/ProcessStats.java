package org.oleandertrack.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the processor time and memory of a process from {@code /proc}. */
final class ProcessStats {

    // Positions in /proc/PID/stat, counted from 0.
    private static final int USER_TICKS_FIELD = 13;
    private static final int SYSTEM_TICKS_FIELD = 14;
    // The kernel reports 100 ticks per second.
    private static final long MICROS_PER_TICK = 10_000;

    private ProcessStats() {}

    /** Returns the processor time that a process has used since its start, in microseconds. */
    static long cpuMicros(ManagedProcess process) throws IOException {
        String stat = Files.readString(procFile(process, "stat"));
        // The second field is the executable name in parentheses, which may contain blanks. The
        // split therefore starts at the end of this field, which makes all positions one lower.
        String[] fields = stat.substring(stat.lastIndexOf(')') - 1).split(" ", -1);
        long ticks =
                Long.parseLong(fields[USER_TICKS_FIELD - 1])
                        + Long.parseLong(fields[SYSTEM_TICKS_FIELD - 1]);
        return ticks * MICROS_PER_TICK;
    }

    /** Returns the resident memory of a process in kilobytes, or 0 if the kernel reports none. */
    static long residentKilobytes(ManagedProcess process) throws IOException {
        return Files.readAllLines(procFile(process, "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .map(line -> line.replaceAll("\\D", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }

    private static Path procFile(ManagedProcess process, String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }
}
