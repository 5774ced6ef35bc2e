package org.oleandertrack.command;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import org.oleandertrack.core.config.NumericAttribute;

/**
 * Writes statements in their canonical form: one blank between words, attributes in a fixed order,
 * names sorted, quotes only where needed. Parsing the form gives an equal statement. Thread-safe.
 */
public final class StatementFormat {

    /** Returns the canonical form of a statement. */
    public String format(Statement statement) {
        return switch (statement) {
            case Query query -> query(query);
            case EndProgram end ->
                    "end program "
                            + Lexer.write(end.organisation())
                            + " "
                            + Lexer.write(end.program());
            case ConfigCommand command -> change(command) + replacing(command.replacing());
        };
    }

    /**
     * Returns the place, from 0, of the object's name in the canonical form of a change. Every
     * change names its object as the third word.
     */
    static int nameIndex(ConfigCommand command) {
        String text = change(command);
        return text.indexOf(' ', text.indexOf(' ') + 1) + 1;
    }

    // Helpers

    private static String query(Query query) {
        StringJoiner text = new StringJoiner(" ");
        text.add("show").add(query.object().text());
        if (!query.conditions().isEmpty()) {
            text.add("where");
        }
        query.conditions().forEach((field, value) -> text.add(field + "=" + Lexer.write(value)));
        return text.toString();
    }

    private static String change(ConfigCommand command) {
        return switch (command) {
            case ConfigCommand.SetClass set -> setClass(set);
            case ConfigCommand.RemoveClass remove -> "remove class " + remove.name();
            case ConfigCommand.SetOrganisation set ->
                    "set organisation " + Lexer.write(set.name()) + values(set.values());
            case ConfigCommand.SetTargets set ->
                    "set targets " + set.name() + " = " + names(set.targets(), ", ");
            case ConfigCommand.DrainTarget drain -> "drain target " + drain.target();
            case ConfigCommand.UndrainTarget undrain -> "undrain target " + undrain.target();
        };
    }

    private static String setClass(ConfigCommand.SetClass set) {
        return "set class "
                + set.name()
                + values(set.values())
                + names(" models=", set.models())
                + names(" targets=", set.targets());
    }

    private static <A extends NumericAttribute> String values(SortedMap<A, Long> values) {
        return values.entrySet().stream()
                .map(entry -> " " + entry.getKey().text() + "=" + entry.getValue())
                .collect(Collectors.joining());
    }

    private static String names(String prefix, Optional<SortedSet<String>> names) {
        return names.map(set -> prefix + names(set, ",")).orElse("");
    }

    private static String names(Collection<String> names, String separator) {
        return names.isEmpty() ? Lexer.ALL : String.join(separator, names);
    }

    private static String replacing(Optional<Long> version) {
        return version.map(number -> " replacing version " + number).orElse("");
    }
}
