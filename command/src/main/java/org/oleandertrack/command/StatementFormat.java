package org.oleandertrack.command;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import org.oleandertrack.core.config.NumericAttribute;

/**
 * Formats statements in their canonical form, which has one space between words, attributes in a
 * fixed order, sorted names and quotes only where needed. Parsing the canonical form gives an equal
 * statement. Thread-safe.
 */
public final class StatementFormat {

    /** Returns the canonical form of a statement. */
    public String format(Statement statement) {
        return switch (statement) {
            case Query query -> formatQuery(query);
            case EndProgram end ->
                    "end program "
                            + Lexer.quoteIfNeeded(end.organisation())
                            + " "
                            + Lexer.quoteIfNeeded(end.program());
            case ConfigCommand command ->
                    formatChange(command) + formatReplacing(command.replacedVersion());
        };
    }

    /**
     * Returns the index of the name of the changed class, organisation or target in the canonical
     * form of a change. This name is the third word in all kinds of changes.
     */
    static int nameIndex(ConfigCommand command) {
        String text = formatChange(command);
        return text.indexOf(' ', text.indexOf(' ') + 1) + 1;
    }

    // Helpers

    private static String formatQuery(Query query) {
        StringJoiner text = new StringJoiner(" ");
        text.add("show").add(query.object().text());
        if (!query.conditions().isEmpty()) {
            text.add("where");
        }
        query.conditions()
                .forEach((field, value) -> text.add(field + "=" + Lexer.quoteIfNeeded(value)));
        return text.toString();
    }

    private static String formatChange(ConfigCommand command) {
        return switch (command) {
            case ConfigCommand.SetClass set -> formatSetClass(set);
            case ConfigCommand.RemoveClass remove -> "remove class " + remove.name();
            case ConfigCommand.SetOrganisation set ->
                    "set organisation "
                            + Lexer.quoteIfNeeded(set.name())
                            + formatValues(set.values());
            case ConfigCommand.SetTargets set ->
                    "set targets " + set.name() + " = " + formatNames(set.targets(), ", ");
            case ConfigCommand.DrainTarget drain -> "drain target " + drain.target();
            case ConfigCommand.UndrainTarget undrain -> "undrain target " + undrain.target();
        };
    }

    private static String formatSetClass(ConfigCommand.SetClass set) {
        return "set class "
                + set.name()
                + formatValues(set.values())
                + formatNames(" models=", set.models())
                + formatNames(" targets=", set.targets());
    }

    private static <A extends NumericAttribute> String formatValues(SortedMap<A, Long> values) {
        return values.entrySet().stream()
                .map(entry -> " " + entry.getKey().text() + "=" + entry.getValue())
                .collect(Collectors.joining());
    }

    private static String formatNames(String prefix, Optional<SortedSet<String>> names) {
        return names.map(set -> prefix + formatNames(set, ",")).orElse("");
    }

    private static String formatNames(Collection<String> names, String separator) {
        return names.isEmpty() ? Lexer.WILDCARD : String.join(separator, names);
    }

    private static String formatReplacing(Optional<Long> version) {
        return version.map(number -> " replacing version " + number).orElse("");
    }
}
