package org.oleandertrack.standins;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.standins.engine.EngineOptions;

/** The options of the sub-command {@code engine}. */
final class EngineCommandLine {

    private EngineCommandLine() {}

    static Options addTo(Options options) {
        options.addOption(null, "slots", true, "requests that run at once; default 8");
        options.addOption(
                null,
                "generated-tokens-per-second",
                true,
                "rate of each running request, 0 for no delay; default 50");
        options.addOption(
                null,
                "prefill-tokens-per-second",
                true,
                "rate of each prefill, 0 for no delay; default 10000");
        options.addOption(null, "cache-tokens", true, "size of the prefix cache; default 1000000");
        options.addOption(null, "event-lag-millis", true, "lag of cache events; default 0");
        options.addOption(null, "event-drop-every", true, "drop each n-th cache event; default 0");
        options.addOption(null, "load-lag-millis", true, "lag of the load report; default 0");
        options.addOption(null, "models", true, "comma-separated models; default \"model\"");
        options.addOption(null, "check-fence", false, "refuse orders with an older fence");
        options.addOption(
                null, "request-id-header", true, "header to report; default X-Request-Id");
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
