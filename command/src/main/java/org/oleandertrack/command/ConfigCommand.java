package org.oleandertrack.command;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.Names;
import org.oleandertrack.core.config.OrganisationAttribute;

/** A command that changes the configuration. Implementations are immutable. */
public sealed interface ConfigCommand extends Command {

    /**
     * Returns the version of the configuration that the change replaces. The change is refused if
     * another version is in force; if empty, it applies to any version.
     */
    Optional<Long> replacedVersion();

    /** Returns a copy that replaces the given version. */
    ConfigCommand withReplacedVersion(Optional<Long> version);

    /**
     * Creates a program class, or changes the given attributes of an existing one.
     *
     * @param name name of the class
     * @param values numeric attributes to set
     * @param models models that programs of the class may use; an empty set allows all models, and
     *     an empty optional leaves the attribute unchanged
     * @param targets targets that programs of the class may use; an empty set allows all targets,
     *     and an empty optional leaves the attribute unchanged
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record SetClass(
            String name,
            SortedMap<ClassAttribute, Long> values,
            Optional<SortedSet<String>> models,
            Optional<SortedSet<String>> targets,
            Optional<Long> replacedVersion)
            implements ConfigCommand {

        /** Creates the command, or fails if a name or value is malformed or out of range. */
        public SetClass {
            requireClassOrTarget(name);
            values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
            values.forEach(ClassAttribute::requireInRange);
            models = models.map(Names::sorted);
            targets = targets.map(Names::sorted);
            if (values.isEmpty() && models.isEmpty() && targets.isEmpty()) {
                throw new IllegalArgumentException("class " + name + " has no attribute to set");
            }
            models.ifPresent(ConfigCommand::requireModels);
            targets.ifPresent(ConfigCommand::requireTargets);
        }

        @Override
        public SetClass withReplacedVersion(Optional<Long> version) {
            return new SetClass(name, values, models, targets, version);
        }
    }

    /**
     * Removes a program class. New programs that name it are refused.
     *
     * @param name name of the class
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record RemoveClass(String name, Optional<Long> replacedVersion) implements ConfigCommand {

        /** Creates the command, or fails if the name is malformed. */
        public RemoveClass {
            requireClassOrTarget(name);
        }

        @Override
        public RemoveClass withReplacedVersion(Optional<Long> version) {
            return new RemoveClass(name, version);
        }
    }

    /**
     * Creates the policy of an organisation, or changes the given attributes of an existing one.
     *
     * @param name name of the organisation
     * @param values attributes to set
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record SetOrganisation(
            String name,
            SortedMap<OrganisationAttribute, Long> values,
            Optional<Long> replacedVersion)
            implements ConfigCommand {

        /** Creates the command, or fails if the name is malformed or a value is out of range. */
        public SetOrganisation {
            if (!Names.isOrganisation(name) || values.isEmpty()) {
                throw new IllegalArgumentException(
                        "not a valid change of organisation " + name + " with values " + values);
            }
            values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
            values.forEach(OrganisationAttribute::requireInRange);
        }

        @Override
        public SetOrganisation withReplacedVersion(Optional<Long> version) {
            return new SetOrganisation(name, values, version);
        }
    }

    /**
     * Sets the targets that programs of an existing class may use.
     *
     * @param name name of the class
     * @param targets the targets; an empty set allows all targets
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record SetTargets(String name, SortedSet<String> targets, Optional<Long> replacedVersion)
            implements ConfigCommand {

        /** Creates the command, or fails if a name is malformed. */
        public SetTargets {
            requireClassOrTarget(name);
            targets = Names.sorted(targets);
            requireTargets(targets);
        }

        @Override
        public SetTargets withReplacedVersion(Optional<Long> version) {
            return new SetTargets(name, targets, version);
        }
    }

    /**
     * Drains a target: it gets no new calls. A target that is already drained stays drained.
     *
     * @param target name of the target; the target need not exist yet
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record DrainTarget(String target, Optional<Long> replacedVersion) implements ConfigCommand {

        /** Creates the command, or fails if the name is malformed. */
        public DrainTarget {
            requireClassOrTarget(target);
        }

        @Override
        public DrainTarget withReplacedVersion(Optional<Long> version) {
            return new DrainTarget(target, version);
        }
    }

    /**
     * Lets a drained target get new calls again.
     *
     * @param target name of the target
     * @param replacedVersion version that the change replaces; empty for any version
     */
    record UndrainTarget(String target, Optional<Long> replacedVersion) implements ConfigCommand {

        /** Creates the command, or fails if the name is malformed. */
        public UndrainTarget {
            requireClassOrTarget(target);
        }

        @Override
        public UndrainTarget withReplacedVersion(Optional<Long> version) {
            return new UndrainTarget(target, version);
        }
    }

    private static void requireClassOrTarget(String name) {
        if (!Names.isClassOrTarget(name)) {
            throw new IllegalArgumentException("malformed name: " + name);
        }
    }

    private static void requireModels(SortedSet<String> models) {
        if (!models.stream().allMatch(Names::isModel)) {
            throw new IllegalArgumentException("malformed model name in " + models);
        }
    }

    private static void requireTargets(SortedSet<String> targets) {
        if (!targets.stream().allMatch(Names::isClassOrTarget)) {
            throw new IllegalArgumentException("malformed target name in " + targets);
        }
    }
}
