package org.oleandertrack.standins;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.standins.engine.EngineOptions;

/** The options of the sub-command {@code engine}. */
final class EngineCommandLine {

    private EngineCommandLine() {}

    static Options addTo(Options options) {
        options.addOption(null, "slots", true, "number of requests that run at once; default 8");
        options.addOption(
                null,
                "generated-tokens-per-second",
                true,
                "generation rate of each request, 0 for no delay; default 50");
        options.addOption(
                null,
                "prefill-tokens-per-second",
                true,
                "prefill rate of each request, 0 for no delay; default 10000");
        options.addOption(
                null,
                "cache-tokens",
                true,
                "capacity of the prefix cache in tokens; default 1000000");
        options.addOption(null, "event-lag-millis", true, "delay of cache events; default 0");
        options.addOption(
                null,
                "event-drop-every",
                true,
                "drop every n-th cache event, 0 for none; default 0");
        options.addOption(null, "load-lag-millis", true, "age of the load report; default 0");
        options.addOption(
                null,
                "models",
                true,
                "comma-separated names of the loaded models; default \"model\"");
        options.addOption(
                null,
                "check-fence",
                false,
                "refuse model commands with a fencing number lower than a previous one");
        options.addOption(
                null,
                "request-id-header",
                true,
                "header with the request id for the statistics; default X-Request-Id");
        return options;
    }

    static EngineOptions read(CommandLine line) {
        return new EngineOptions(
                Integer.parseInt(line.getOptionValue("slots", "8")),
                Double.parseDouble(line.getOptionValue("generated-tokens-per-second", "50")),
                Double.parseDouble(line.getOptionValue("prefill-tokens-per-second", "10000")),
                Long.parseLong(line.getOptionValue("cache-tokens", "1000000")),
                Long.parseLong(line.getOptionValue("event-lag-millis", "0")),
                Long.parseLong(line.getOptionValue("event-drop-every", "0")),
                Long.parseLong(line.getOptionValue("load-lag-millis", "0")),
                List.of(line.getOptionValue("models", "model").split(",")),
                line.hasOption("check-fence"),
                line.getOptionValue("request-id-header", "X-Request-Id"));
    }
}
