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

/**
 * Creates statements from parsed names and values. Each method checks them and fails with the
 * position of the first one that is not allowed. Stateless.
 */
final class StatementFactory {

    private static final String MODELS = "models";
    private static final String TARGETS = "targets";

    // The largest number of 18 digits; each number of 18 digits fits into a long.
    private static final long MAX_VERSION = 999_999_999_999_999_999L;
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,18}");
    private static final Pattern TOO_LONG_NUMBER = Pattern.compile("-?\\d{19,}");
    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("-?[\\d.]+[A-Za-z]+");
    private static final Pattern UNIT_SUFFIX =
            Pattern.compile("-(tokens|bytes|millis|ms|seconds|s|minutes|hours|days)$");

    private StatementFactory() {}

    // Operations

    static Query createQuery(PositionedText object, List<Assignment> where) {
        QueryObject found =
                QueryObject.find(object.text())
                        .orElseThrow(
                                () ->
                                        object.failure(
                                                ResultCode.UNKNOWN_OBJECT,
                                                "cannot show "
                                                        + object.text()
                                                        + "; allowed: "
                                                        + joinNames(QueryObject.values())));
        requireDistinct(where);
        SortedMap<String, String> conditions = new TreeMap<>();
        for (Assignment condition : where) {
            PositionedText field = condition.name();
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

    static ConfigCommand createSetClass(
            PositionedText name, List<Assignment> assignments, Optional<PositionedText> version) {
        requireClassOrTarget(name);
        requireDistinct(assignments);
        Optional<SortedSet<String>> models = Optional.empty();
        Optional<SortedSet<String>> targets = Optional.empty();
        Map<ClassAttribute, Long> values = new EnumMap<>(ClassAttribute.class);
        for (Assignment assignment : assignments) {
            switch (assignment.name().text()) {
                case MODELS -> models = Optional.of(parseModels(assignment.values()));
                case TARGETS -> targets = Optional.of(parseTargets(assignment.values()));
                default -> {
                    ClassAttribute attribute =
                            findAttribute(
                                    assignment.name(),
                                    ClassAttribute.values(),
                                    List.of(MODELS, TARGETS));
                    values.put(attribute, parseNumber(attribute, assignment));
                }
            }
        }
        return new ConfigCommand.SetClass(
                name.text(), new TreeMap<>(values), models, targets, parseVersion(version));
    }

    static ConfigCommand createSetOrganisation(
            PositionedText name, List<Assignment> assignments, Optional<PositionedText> version) {
        requireForm(name, Names::isOrganisation, Names.ORGANISATION_FORM);
        requireDistinct(assignments);
        Map<OrganisationAttribute, Long> values = new EnumMap<>(OrganisationAttribute.class);
        for (Assignment assignment : assignments) {
            OrganisationAttribute attribute =
                    findAttribute(assignment.name(), OrganisationAttribute.values(), List.of());
            values.put(attribute, parseNumber(attribute, assignment));
        }
        return new ConfigCommand.SetOrganisation(
                name.text(), new TreeMap<>(values), parseVersion(version));
    }

    static ConfigCommand createSetTargets(
            PositionedText name, List<PositionedText> targets, Optional<PositionedText> version) {
        requireClassOrTarget(name);
        return new ConfigCommand.SetTargets(
                name.text(), parseTargets(targets), parseVersion(version));
    }

    static ConfigCommand createRemoveClass(PositionedText name, Optional<PositionedText> version) {
        requireClassOrTarget(name);
        return new ConfigCommand.RemoveClass(name.text(), parseVersion(version));
    }

    static ConfigCommand createDrainTarget(
            PositionedText target, Optional<PositionedText> version) {
        requireClassOrTarget(target);
        return new ConfigCommand.DrainTarget(target.text(), parseVersion(version));
    }

    static ConfigCommand createUndrainTarget(
            PositionedText target, Optional<PositionedText> version) {
        requireClassOrTarget(target);
        return new ConfigCommand.UndrainTarget(target.text(), parseVersion(version));
    }

    static EndProgram createEndProgram(PositionedText organisation, PositionedText program) {
        requireForm(organisation, Names::isOrganisation, Names.ORGANISATION_FORM);
        requireForm(program, Names::isProgram, Names.PROGRAM_FORM);
        return new EndProgram(organisation.text(), program.text());
    }

    // Helpers

    private static <A extends NumericAttribute> A findAttribute(
            PositionedText name, A[] attributes, List<String> others) {
        for (A attribute : attributes) {
            if (attribute.text().equals(name.text())) {
                return attribute;
            }
        }
        for (A attribute : attributes) {
            if (!withoutUnitSuffix(attribute.text()).equals(attribute.text())
                    && withoutUnitSuffix(attribute.text()).equals(withoutUnitSuffix(name.text()))) {
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

    private static String withoutUnitSuffix(String name) {
        return UNIT_SUFFIX.matcher(name).replaceFirst("");
    }

    private static long parseNumber(NumericAttribute attribute, Assignment assignment) {
        if (assignment.values().size() != 1) {
            throw assignment
                    .name()
                    .failure(ResultCode.COMMAND_SYNTAX, attribute.text() + " takes one number");
        }
        return parseNumber(
                assignment.values().getFirst(), attribute.text(), attribute.min(), attribute.max());
    }

    private static long parseNumber(PositionedText value, String name, long min, long max) {
        String text = value.text();
        String range = "; allowed: " + min + " to " + max;
        if (NUMBER_WITH_UNIT.matcher(text).matches()) {
            throw value.failure(
                    ResultCode.VALUE_OUT_OF_RANGE,
                    name + "=" + text + " must be a number without a unit" + range);
        }
        boolean tooLong = TOO_LONG_NUMBER.matcher(text).matches();
        if (!tooLong && !NUMBER.matcher(text).matches()) {
            throw value.failure(
                    ResultCode.COMMAND_SYNTAX, name + "=" + text + " is not a number" + range);
        }
        if (tooLong || Long.parseLong(text) < min || Long.parseLong(text) > max) {
            throw value.failure(
                    ResultCode.VALUE_OUT_OF_RANGE, name + "=" + text + " is not allowed" + range);
        }
        return Long.parseLong(text);
    }

    private static Optional<Long> parseVersion(Optional<PositionedText> version) {
        return version.map(value -> parseNumber(value, "version", 0, MAX_VERSION));
    }

    private static SortedSet<String> parseModels(List<PositionedText> names) {
        names.forEach(value -> requireForm(value, Names::isModel, Names.MODEL_FORM));
        return Names.sorted(names.stream().map(PositionedText::text).toList());
    }

    private static SortedSet<String> parseTargets(List<PositionedText> names) {
        names.forEach(StatementFactory::requireClassOrTarget);
        return Names.sorted(names.stream().map(PositionedText::text).toList());
    }

    private static void requireClassOrTarget(PositionedText name) {
        requireForm(name, Names::isClassOrTarget, Names.CLASS_OR_TARGET_FORM);
    }

    private static void requireForm(
            PositionedText value, Predicate<String> form, String description) {
        if (!form.test(value.text())) {
            throw value.failure(
                    ResultCode.VALUE_OUT_OF_RANGE,
                    Lexer.quote(value.text()) + " is not allowed; allowed: " + description);
        }
    }

    private static void requireDistinct(List<Assignment> assignments) {
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

    private static String joinNames(QueryObject... objects) {
        return Arrays.stream(objects).map(QueryObject::text).collect(Collectors.joining(", "));
    }
}
