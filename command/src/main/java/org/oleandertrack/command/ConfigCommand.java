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

    /** Returns the version that the change replaces; empty for whatever is in force. */
    Optional<Long> replacing();

    /** Returns the same change for another version. */
    ConfigCommand withReplacing(Optional<Long> version);

    /**
     * Creates a class or changes the named attributes of one.
     *
     * @param name the class
     * @param values numeric attributes to set
     * @param models models that programs may use, if to be set; an empty set allows every model
     * @param targets targets that programs may use, if to be set; an empty set allows every target
     * @param replacing version that the change replaces
     */
    record SetClass(
            String name,
            SortedMap<ClassAttribute, Long> values,
            Optional<SortedSet<String>> models,
            Optional<SortedSet<String>> targets,
            Optional<Long> replacing)
            implements ConfigCommand {

        /** Creates the command, or fails if a name or value does not have its form. */
        public SetClass {
            requireObject(name);
            values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
            values.forEach(ClassAttribute::checked);
            models = models.map(Names::sorted);
            targets = targets.map(Names::sorted);
            if (values.isEmpty() && models.isEmpty() && targets.isEmpty()) {
                throw new IllegalArgumentException("class " + name + " without attribute");
            }
            models.ifPresent(ConfigCommand::requireModels);
            targets.ifPresent(ConfigCommand::requireTargets);
        }

        @Override
        public SetClass withReplacing(Optional<Long> version) {
            return new SetClass(name, values, models, targets, version);
        }
    }

    /**
     * Removes a class. New programs that name it are refused.
     *
     * @param name the class
     * @param replacing version that the change replaces
     */
    record RemoveClass(String name, Optional<Long> replacing) implements ConfigCommand {

        /** Creates the command, or fails if the name does not have its form. */
        public RemoveClass {
            requireObject(name);
        }

        @Override
        public RemoveClass withReplacing(Optional<Long> version) {
            return new RemoveClass(name, version);
        }
    }

    /**
     * Creates an organisation's policy or changes the named attributes of one.
     *
     * @param name the organisation
     * @param values attributes to set
     * @param replacing version that the change replaces
     */
    record SetOrganisation(
            String name, SortedMap<OrganisationAttribute, Long> values, Optional<Long> replacing)
            implements ConfigCommand {

        /** Creates the command, or fails if the name or a value does not have its form. */
        public SetOrganisation {
            if (!Names.isOrganisation(name) || values.isEmpty()) {
                throw new IllegalArgumentException("organisation " + name + " " + values);
            }
            values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
            values.forEach(OrganisationAttribute::checked);
        }

        @Override
        public SetOrganisation withReplacing(Optional<Long> version) {
            return new SetOrganisation(name, values, version);
        }
    }

    /**
     * Sets the targets of a class that exists.
     *
     * @param name the class
     * @param targets targets that programs may use; an empty set allows every target
     * @param replacing version that the change replaces
     */
    record SetTargets(String name, SortedSet<String> targets, Optional<Long> replacing)
            implements ConfigCommand {

        /** Creates the command, or fails if a name does not have its form. */
        public SetTargets {
            requireObject(name);
            targets = Names.sorted(targets);
            requireTargets(targets);
        }

        @Override
        public SetTargets withReplacing(Optional<Long> version) {
            return new SetTargets(name, targets, version);
        }
    }

    /**
     * Stops new work at a target. A target that is drained already stays so.
     *
     * @param target the target; it need not be known yet
     * @param replacing version that the change replaces
     */
    record DrainTarget(String target, Optional<Long> replacing) implements ConfigCommand {

        /** Creates the command, or fails if the name does not have its form. */
        public DrainTarget {
            requireObject(target);
        }

        @Override
        public DrainTarget withReplacing(Optional<Long> version) {
            return new DrainTarget(target, version);
        }
    }

    /**
     * Allows new work at a drained target.
     *
     * @param target the target
     * @param replacing version that the change replaces
     */
    record UndrainTarget(String target, Optional<Long> replacing) implements ConfigCommand {

        /** Creates the command, or fails if the name does not have its form. */
        public UndrainTarget {
            requireObject(target);
        }

        @Override
        public UndrainTarget withReplacing(Optional<Long> version) {
            return new UndrainTarget(target, version);
        }
    }

    private static void requireObject(String name) {
        if (!Names.isObject(name)) {
            throw new IllegalArgumentException("name " + name);
        }
    }

    private static void requireModels(SortedSet<String> models) {
        if (!models.stream().allMatch(Names::isModel)) {
            throw new IllegalArgumentException("models " + models);
        }
    }

    private static void requireTargets(SortedSet<String> targets) {
        if (!targets.stream().allMatch(Names::isObject)) {
            throw new IllegalArgumentException("targets " + targets);
        }
    }
}
