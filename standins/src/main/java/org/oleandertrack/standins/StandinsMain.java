package org.oleandertrack.standins;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oleandertrack.standins.engine.EngineOptions;
import org.oleandertrack.standins.load.LoadClient;
import org.oleandertrack.standins.load.LoadResult;

/**
 * Command line of the stand-ins and the load client. A stand-in prints {@code ready <port>} on
 * standard output when it accepts requests, and ends on SIGTERM.
 */
public final class StandinsMain {

    private static final int USAGE_ERROR_STATUS = 2;
    private static final int FAILURE_STATUS = 1;
    private static final String USAGE =
            "usage: standins platform|engine|service [--address A] [--port P] [options]\n"
                    + "       standins load --url U --calls N --concurrency C [options]";

    private StandinsMain() {}

    /** Runs the sub-command that the first argument names. */
    public static void main(String[] args) {
        try {
            String command = args.length == 0 ? "" : args[0];
            String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
            run(command, rest);
        } catch (ParseException | NumberFormatException e) {
            System.err.println("error: " + e.getMessage());
            System.err.println(USAGE);
            System.exit(USAGE_ERROR_STATUS);
        } catch (IOException | InterruptedException e) {
            System.err.println("error: " + e);
            System.exit(FAILURE_STATUS);
        }
    }

    private static void run(String command, String[] args)
            throws ParseException, IOException, InterruptedException {
        switch (command) {
            case "platform" -> {
                CommandLine line = parse(serverOptions(), args);
                printReady(Standin.platform(address(line), port(line)));
            }
            case "engine" -> {
                CommandLine line = parse(EngineCommandLine.addTo(serverOptions()), args);
                EngineOptions options = EngineCommandLine.read(line);
                printReady(Standin.engine(address(line), port(line), options));
            }
            case "service" -> {
                Options options = serverOptions();
                options.addOption(null, "delay-millis", true, "delay of each call; default 0");
                CommandLine line = parse(options, args);
                long delayMillis = Long.parseLong(line.getOptionValue("delay-millis", "0"));
                printReady(Standin.service(address(line), port(line), delayMillis));
            }
            case "load" -> {
                CommandLine line = parse(LoadCommandLine.options(), args);
                LoadResult result = new LoadClient(LoadCommandLine.read(line)).run();
                System.out.println(result.toJson());
            }
            default -> throw new ParseException("unknown command \"" + command + "\"");
        }
    }

    private static Options serverOptions() {
        Options options = new Options();
        options.addOption(null, "address", true, "address to listen on; default 127.0.0.1");
        options.addOption(null, "port", true, "port to listen on; default 0, a free port");
        return options;
    }

    private static CommandLine parse(Options options, String[] args) throws ParseException {
        CommandLine line = new DefaultParser().parse(options, args);
        List<String> unexpected = line.getArgList();
        if (!unexpected.isEmpty()) {
            throw new ParseException("unexpected argument \"" + unexpected.getFirst() + "\"");
        }
        return line;
    }

    private static String address(CommandLine line) {
        return line.getOptionValue("address", "127.0.0.1");
    }

    private static int port(CommandLine line) {
        return Integer.parseInt(line.getOptionValue("port", "0"));
    }

    private static void printReady(Standin standin) {
        System.out.println("ready " + standin.port());
    }
}
