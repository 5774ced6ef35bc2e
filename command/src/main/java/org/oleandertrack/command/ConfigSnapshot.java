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
 * Writes a state as text: its version, then the changes that lead from the initial state to it.
 * Equal states have equal text. Thread-safe.
 */
public final class ConfigSnapshot {

    private static final String VERSION_PREFIX = "version ";

    private final CommandParser mParser = new CommandParser();
    private final StatementFormat mFormat = new StatementFormat();
    private final ConfigReducer mReducer = new ConfigReducer();

    /** Returns the text of a state. */
    public String write(ConfigState state) {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        lines.add(VERSION_PREFIX + state.version());
        state.classes().values().forEach(c -> lines.add(mFormat.format(command(c))));
        state.organisations().values().forEach(o -> lines.add(mFormat.format(command(o))));
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
     * Returns the state that the text describes.
     *
     * @throws IllegalArgumentException if the first line does not name a version
     * @throws org.oleandertrack.core.result.ResultException if another line is not a valid change
     */
    public ConfigState read(String text) {
        Iterator<String> lines = text.lines().iterator();
        String first = lines.hasNext() ? lines.next() : "";
        if (!first.startsWith(VERSION_PREFIX)) {
            throw new IllegalArgumentException("snapshot begins with: " + first);
        }
        long version = Long.parseLong(first.substring(VERSION_PREFIX.length()));
        ConfigState state = ConfigState.initial();
        while (lines.hasNext()) {
            state = mReducer.apply(state, mParser.parseConfigCommand(lines.next()));
        }
        return state.withVersion(version);
    }

    // Helpers

    private static ConfigCommand command(ProgramClass programClass) {
        return new ConfigCommand.SetClass(
                programClass.name(),
                values(ClassAttribute.values(), programClass::value),
                Optional.of(programClass.models()),
                Optional.of(programClass.targets()),
                Optional.empty());
    }

    private static ConfigCommand command(OrganisationPolicy policy) {
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
