package org.oleandertrack.command;

import java.util.Arrays;
import java.util.Iterator;
import java.util.Optional;
import java.util.SortedMap;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.config.NumericAttribute;
import org.oleandertrack.core.config.OrganisationAttribute;
import org.oleandertrack.core.config.OrganisationPolicy;
import org.oleandertrack.core.config.ProgramClass;

/**
 * Encodes a configuration as text: a line with its version, then one change per line. Applying
 * these changes to the initial configuration gives the encoded one. Equal configurations have equal
 * texts. Thread-safe.
 */
public final class ConfigStateCodec {

    private static final String VERSION_PREFIX = "version ";

    private final CommandParser mParser = new CommandParser();
    private final StatementFormat mFormat = new StatementFormat();
    private final ConfigReducer mReducer = new ConfigReducer();

    /** Encodes a configuration. */
    public String encode(ConfigState state) {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        lines.add(VERSION_PREFIX + state.version());
        state.classes().values().forEach(c -> lines.add(mFormat.format(toCommand(c))));
        state.organisations().values().forEach(o -> lines.add(mFormat.format(toCommand(o))));
        state.drainedTargets()
                .forEach(
                        target ->
                                lines.add(
                                        mFormat.format(
                                                new ConfigCommand.DrainTarget(
                                                        target, Optional.empty()))));
        return lines.toString();
    }

    /**
     * Decodes a configuration.
     *
     * @throws IllegalArgumentException if the first line does not contain a version
     * @throws org.oleandertrack.core.result.ResultException if another line is not a valid change
     */
    public ConfigState decode(String text) {
        Iterator<String> lines = text.lines().iterator();
        String first = lines.hasNext() ? lines.next() : "";
        if (!first.startsWith(VERSION_PREFIX)) {
            throw new IllegalArgumentException(
                    "snapshot does not begin with its version: " + first);
        }
        long version = Long.parseLong(first.substring(VERSION_PREFIX.length()));
        ConfigState state = ConfigState.initial();
        while (lines.hasNext()) {
            state = mReducer.apply(state, mParser.parseConfigCommand(lines.next()));
        }
        return state.withVersion(version);
    }

    // Helpers

    private static ConfigCommand toCommand(ProgramClass programClass) {
        return new ConfigCommand.SetClass(
                programClass.name(),
                values(ClassAttribute.values(), programClass::value),
                Optional.of(programClass.models()),
                Optional.of(programClass.targets()),
                Optional.empty());
    }

    private static ConfigCommand toCommand(OrganisationPolicy policy) {
        return new ConfigCommand.SetOrganisation(
                policy.name(),
                values(OrganisationAttribute.values(), policy::value),
                Optional.empty());
    }

    private static <A extends Enum<A> & NumericAttribute> SortedMap<A, Long> values(
            A[] attributes, Function<A, Long> value) {
        return Arrays.stream(attributes)
                .collect(Collectors.toMap(Function.identity(), value, (a, b) -> a, TreeMap::new));
    }
}
