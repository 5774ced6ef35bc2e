package org.oleandertrack.command;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.Names;
import org.oleandertrack.core.config.NumericAttribute;
import org.oleandertrack.core.config.OrganisationAttribute;

/** Generators of valid statements for property-based tests. */
final class StatementArbitraries {

    // Few names, so that changes often refer to objects of earlier changes; some are keywords.
    private static final List<String> CLASS_OR_TARGET_NAMES =
            List.of("default", "review", "chat-2", "replacing", "version", "0", "a.b_c");

    private StatementArbitraries() {}

    static Arbitrary<Statement> statements() {
        return Arbitraries.oneOf(
                queries().map(Statement.class::cast),
                configCommands().map(Statement.class::cast),
                endPrograms().map(Statement.class::cast));
    }

    static Arbitrary<Query> queries() {
        return Arbitraries.of(QueryObject.values())
                .flatMap(
                        object ->
                                Arbitraries.maps(Arbitraries.of(object.columns()), printable(0, 12))
                                        .ofMaxSize(3)
                                        .map(where -> new Query(object, new TreeMap<>(where))));
    }

    static Arbitrary<EndProgram> endPrograms() {
        return Combinators.combine(organisations(), printable(1, 40).filter(Names::isProgram))
                .as(EndProgram::new);
    }

    static Arbitrary<ConfigCommand> configCommands() {
        return Arbitraries.oneOf(
                setClass().map(ConfigCommand.class::cast),
                Combinators.combine(classOrTargetNames(), versions())
                        .as(ConfigCommand.RemoveClass::new),
                Combinators.combine(
                                organisations(), values(OrganisationAttribute.values()), versions())
                        .as(ConfigCommand.SetOrganisation::new),
                Combinators.combine(classOrTargetNames(), targets(), versions())
                        .as(ConfigCommand.SetTargets::new),
                Combinators.combine(classOrTargetNames(), versions())
                        .as(ConfigCommand.DrainTarget::new),
                Combinators.combine(classOrTargetNames(), versions())
                        .as(ConfigCommand.UndrainTarget::new));
    }

    private static Arbitrary<ConfigCommand.SetClass> setClass() {
        return Combinators.combine(
                        classOrTargetNames(),
                        values(ClassAttribute.values()),
                        models().optional(),
                        targets().optional(),
                        versions())
                .as(ConfigCommand.SetClass::new);
    }

    private static <A extends Enum<A> & NumericAttribute> Arbitrary<SortedMap<A, Long>> values(
            A[] attributes) {
        return Arbitraries.of(attributes)
                .set()
                .ofMinSize(1)
                .flatMap(
                        chosen ->
                                Combinators.combine(
                                                chosen.stream()
                                                        .map(StatementArbitraries::entry)
                                                        .toList())
                                        .as(
                                                entries -> {
                                                    SortedMap<A, Long> map = new TreeMap<>();
                                                    entries.forEach(
                                                            e -> map.put(e.getKey(), e.getValue()));
                                                    return map;
                                                }));
    }

    private static <A extends NumericAttribute> Arbitrary<Map.Entry<A, Long>> entry(A attribute) {
        return Arbitraries.longs()
                .between(attribute.min(), attribute.max())
                .map(value -> Map.entry(attribute, value));
    }

    private static Arbitrary<String> classOrTargetNames() {
        return Arbitraries.of(CLASS_OR_TARGET_NAMES);
    }

    private static Arbitrary<SortedSet<String>> targets() {
        return classOrTargetNames().set().ofMaxSize(4).map(Names::sorted);
    }

    private static Arbitrary<SortedSet<String>> models() {
        return Arbitraries.of("m", "org/model:7b", "v1.5", "where")
                .set()
                .ofMaxSize(3)
                .map(Names::sorted);
    }

    private static Arbitrary<String> organisations() {
        return Arbitraries.oneOf(
                classOrTargetNames(),
                printable(1, 20).filter(Names::isOrganisation),
                Arbitraries.just("K & P"));
    }

    private static Arbitrary<String> printable(int min, int max) {
        return Arbitraries.strings().withCharRange(' ', '~').ofMinLength(min).ofMaxLength(max);
    }

    private static Arbitrary<Optional<Long>> versions() {
        return Arbitraries.longs().between(0, 999_999_999_999_999_999L).optional();
    }
}
