package org.oleandertrack.command;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.Names;
import org.oleandertrack.core.config.NumericAttribute;
import org.oleandertrack.core.config.OrganisationAttribute;
import org.oleandertrack.core.result.ResultCode;

/** Turns parsed words into statements and reports the first word that is not valid. Stateless. */
final class StatementChecks {

    private static final String MODELS = "models";
    private static final String TARGETS = "targets";

    // Eighteen digits always fit a long.
    private static final long MAX_VERSION = 999_999_999_999_999_999L;
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,18}");
    private static final Pattern LONG_NUMBER = Pattern.compile("-?\\d{19,}");
    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("-?[\\d.]+[A-Za-z]+");
    private static final Pattern UNIT_SUFFIX =
            Pattern.compile("-(tokens|bytes|millis|ms|seconds|s|minutes|hours|days)$");

    private StatementChecks() {}

    // Operations

    static Query query(Word object, List<Assignment> where) {
        QueryObject found =
                QueryObject.find(object.text())
                        .orElseThrow(
                                () ->
                                        object.failure(
                                                ResultCode.UNKNOWN_OBJECT,
                                                "cannot show "
                                                        + object.text()
                                                        + "; allowed: "
                                                        + allowed(QueryObject.values())));
        expectDistinct(where);
        SortedMap<String, String> conditions = new TreeMap<>();
        for (Assignment condition : where) {
            Word field = condition.name();
            if (!found.columns().contains(field.text())) {
                throw field.failure(
                        ResultCode.COMMAND_SYNTAX,
                        "unknown field "
                                + field.text()
                                + "; allowed: "
                                + String.join(", ", found.columns()));
            }
            conditions.put(field.text(), condition.values().getFirst().text());
        }
        return new Query(found, conditions);
    }

    static ConfigCommand setClass(Word name, List<Assignment> assignments, Optional<Word> version) {
        expectObject(name);
        expectDistinct(assignments);
        Optional<SortedSet<String>> models = Optional.empty();
        Optional<SortedSet<String>> targets = Optional.empty();
        Map<ClassAttribute, Long> values = new EnumMap<>(ClassAttribute.class);
        for (Assignment assignment : assignments) {
            switch (assignment.name().text()) {
                case MODELS -> models = Optional.of(models(assignment.values()));
                case TARGETS -> targets = Optional.of(targets(assignment.values()));
                default -> {
                    ClassAttribute attribute =
                            attribute(
                                    assignment.name(),
                                    ClassAttribute.values(),
                                    List.of(MODELS, TARGETS));
                    values.put(attribute, number(attribute, assignment));
                }
            }
        }
        return new ConfigCommand.SetClass(
                name.text(), new TreeMap<>(values), models, targets, version(version));
    }

    static ConfigCommand setOrganisation(
            Word name, List<Assignment> assignments, Optional<Word> version) {
        expectForm(name, Names::isOrganisation, Names.ORGANISATION_FORM);
        expectDistinct(assignments);
        Map<OrganisationAttribute, Long> values = new EnumMap<>(OrganisationAttribute.class);
        for (Assignment assignment : assignments) {
            OrganisationAttribute attribute =
                    attribute(assignment.name(), OrganisationAttribute.values(), List.of());
            values.put(attribute, number(attribute, assignment));
        }
        return new ConfigCommand.SetOrganisation(
                name.text(), new TreeMap<>(values), version(version));
    }

    static ConfigCommand setTargets(Word name, List<Word> targets, Optional<Word> version) {
        expectObject(name);
        return new ConfigCommand.SetTargets(name.text(), targets(targets), version(version));
    }

    static ConfigCommand removeClass(Word name, Optional<Word> version) {
        expectObject(name);
        return new ConfigCommand.RemoveClass(name.text(), version(version));
    }

    static ConfigCommand drainTarget(Word target, Optional<Word> version) {
        expectObject(target);
        return new ConfigCommand.DrainTarget(target.text(), version(version));
    }

    static ConfigCommand undrainTarget(Word target, Optional<Word> version) {
        expectObject(target);
        return new ConfigCommand.UndrainTarget(target.text(), version(version));
    }

    static EndProgram endProgram(Word organisation, Word program) {
        expectForm(organisation, Names::isOrganisation, Names.ORGANISATION_FORM);
        expectForm(program, Names::isProgram, Names.PROGRAM_FORM);
        return new EndProgram(organisation.text(), program.text());
    }

    // Helpers

    private static <A extends NumericAttribute> A attribute(
            Word name, A[] attributes, List<String> others) {
        for (A attribute : attributes) {
            if (attribute.text().equals(name.text())) {
                return attribute;
            }
        }
        for (A attribute : attributes) {
            if (!stem(attribute.text()).equals(attribute.text())
                    && stem(attribute.text()).equals(stem(name.text()))) {
                throw name.failure(
                        ResultCode.VALUE_OUT_OF_RANGE,
                        name.text() + " has the wrong unit; allowed: " + attribute.text());
            }
        }
        String allowed =
                Stream.concat(
                                Arrays.stream(attributes).map(NumericAttribute::text),
                                others.stream())
                        .collect(Collectors.joining(", "));
        throw name.failure(
                ResultCode.COMMAND_SYNTAX,
                "unknown attribute " + name.text() + "; allowed: " + allowed);
    }

    private static String stem(String name) {
        return UNIT_SUFFIX.matcher(name).replaceFirst("");
    }

    private static long number(NumericAttribute attribute, Assignment assignment) {
        if (assignment.values().size() != 1) {
            throw assignment
                    .name()
                    .failure(ResultCode.COMMAND_SYNTAX, attribute.text() + " takes one number");
        }
        return number(
                assignment.values().getFirst(), attribute.text(), attribute.min(), attribute.max());
    }

    private static long number(Word word, String name, long min, long max) {
        String text = word.text();
        String range = "; allowed: " + min + " to " + max;
        if (NUMBER_WITH_UNIT.matcher(text).matches()) {
            throw word.failure(
                    ResultCode.VALUE_OUT_OF_RANGE,
                    name + "=" + text + " must be a number without a unit" + range);
        }
        boolean tooLong = LONG_NUMBER.matcher(text).matches();
        if (!tooLong && !NUMBER.matcher(text).matches()) {
            throw word.failure(
                    ResultCode.COMMAND_SYNTAX, name + "=" + text + " is not a number" + range);
        }
        if (tooLong || Long.parseLong(text) < min || Long.parseLong(text) > max) {
            throw word.failure(
                    ResultCode.VALUE_OUT_OF_RANGE, name + "=" + text + " is not allowed" + range);
        }
        return Long.parseLong(text);
    }

    private static Optional<Long> version(Optional<Word> version) {
        return version.map(word -> number(word, "version", 0, MAX_VERSION));
    }

    private static SortedSet<String> models(List<Word> words) {
        words.forEach(word -> expectForm(word, Names::isModel, Names.MODEL_FORM));
        return Names.sorted(words.stream().map(Word::text).toList());
    }

    private static SortedSet<String> targets(List<Word> words) {
        words.forEach(StatementChecks::expectObject);
        return Names.sorted(words.stream().map(Word::text).toList());
    }

    private static void expectObject(Word name) {
        expectForm(name, Names::isObject, Names.OBJECT_FORM);
    }

    private static void expectForm(Word word, Predicate<String> form, String description) {
        if (!form.test(word.text())) {
            throw word.failure(
                    ResultCode.VALUE_OUT_OF_RANGE,
                    Lexer.quote(word.text()) + " is not allowed; allowed: " + description);
        }
    }

    private static void expectDistinct(List<Assignment> assignments) {
        Set<String> seen = new HashSet<>();
        for (Assignment assignment : assignments) {
            if (!seen.add(assignment.name().text())) {
                throw assignment
                        .name()
                        .failure(
                                ResultCode.COMMAND_SYNTAX,
                                assignment.name().text() + " is given twice");
            }
        }
    }

    private static String allowed(QueryObject... objects) {
        return Arrays.stream(objects).map(QueryObject::text).collect(Collectors.joining(", "));
    }
}
