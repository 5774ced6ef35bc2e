package org.oleandertrack.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Command line that runs the soak test with one seed after another and prints the guarantees that
 * were violated.
 */
public final class SoakMain {

    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;
    private static final Path JAR =
            Path.of("platform", "target", "oleandertrack-platform-all.jar").toAbsolutePath();

    private SoakMain() {}

    /** Runs the seeds that the options select; exits with 1 if a guarantee was violated. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Options options = new Options();
        options.addOption(null, "first", true, "first seed; default 1");
        options.addOption(null, "seeds", true, "number of seeds; default 1");
        options.addOption(null, "gateways", true, "gateway processes; default 4");
        options.addOption(null, "callers", true, "concurrent callers; default 12");
        options.addOption(
                null, "seconds", true, "seconds during which faults are injected; default 12");
        options.addOption(
                null, "folder", true, "folder for settings and logs; default soak/target/runs");
        int failedSeeds = 0;
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            long first = number(line, "first", 1);
            long seeds = number(line, "seeds", 1);
            SoakRun.Size size =
                    new SoakRun.Size(
                            (int) number(line, "gateways", 4),
                            (int) number(line, "callers", 12),
                            1_000 * number(line, "seconds", 12));
            Path folder = Path.of(line.getOptionValue("folder", "soak/target/runs"));
            for (long seed = first; seed < first + seeds; seed++) {
                failedSeeds += run(seed, size, folder.resolve("seed-" + seed)) ? 0 : 1;
            }
        } catch (ParseException | NumberFormatException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        System.out.println("seeds with a violated guarantee: " + failedSeeds);
        System.exit(failedSeeds == 0 ? 0 : EXIT_VIOLATED);
    }

    private static boolean run(long seed, SoakRun.Size size, Path folder)
            throws IOException, InterruptedException {
        List<String> violations = new SoakRun(seed, size, JAR, folder.toAbsolutePath()).run();
        System.out.println("seed " + seed + ": " + violations.size() + " violations");
        violations.stream().limit(5).forEach(line -> System.out.println("  " + line));
        return violations.isEmpty();
    }

    private static long number(CommandLine line, String option, long defaultValue) {
        return Long.parseLong(line.getOptionValue(option, Long.toString(defaultValue)));
    }
}
