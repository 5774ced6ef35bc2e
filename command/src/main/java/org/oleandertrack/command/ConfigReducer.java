package org.oleandertrack.command;

import java.util.Map;
import java.util.TreeSet;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.config.OrganisationAttribute;
import org.oleandertrack.core.config.OrganisationPolicy;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Folds changes into the configuration. The result depends on the state and the change alone, so
 * every process that folds the same log has the same state. Thread-safe.
 */
public final class ConfigReducer {

    /**
     * Returns the next version of the state.
     *
     * @throws ResultException with VERSION_CONFLICT if the change replaces another version, with
     *     UNKNOWN_OBJECT if its object does not exist, or with VALUE_OUT_OF_RANGE if it removes the
     *     default class. Positions refer to the canonical form of the change.
     */
    public ConfigState apply(ConfigState state, ConfigCommand command) {
        long replaced = command.replacing().orElse(state.version());
        if (replaced != state.version()) {
            throw new ResultException(
                    ResultCode.VERSION_CONFLICT,
                    "the change replaces version "
                            + replaced
                            + ", but version "
                            + state.version()
                            + " is in force");
        }
        return change(state, command).withVersion(state.version() + 1);
    }

    // Helpers

    private static ConfigState change(ConfigState state, ConfigCommand command) {
        return switch (command) {
            case ConfigCommand.SetClass set -> setClass(state, set);
            case ConfigCommand.RemoveClass remove -> removeClass(state, remove);
            case ConfigCommand.SetOrganisation set -> setOrganisation(state, set);
            case ConfigCommand.SetTargets set ->
                    state.withClass(existing(state, set.name(), set).withTargets(set.targets()));
            case ConfigCommand.DrainTarget drain -> {
                TreeSet<String> drained = new TreeSet<>(state.drainedTargets());
                drained.add(drain.target());
                yield state.withDrainedTargets(drained);
            }
            case ConfigCommand.UndrainTarget undrain -> undrain(state, undrain);
        };
    }

    private static ConfigState setClass(ConfigState state, ConfigCommand.SetClass set) {
        ProgramClass changed =
                state.classNamed(set.name()).orElseGet(() -> ProgramClass.defaults(set.name()));
        for (Map.Entry<ClassAttribute, Long> entry : set.values().entrySet()) {
            changed = changed.with(entry.getKey(), entry.getValue());
        }
        if (set.models().isPresent()) {
            changed = changed.withModels(set.models().get());
        }
        if (set.targets().isPresent()) {
            changed = changed.withTargets(set.targets().get());
        }
        return state.withClass(changed);
    }

    private static ConfigState removeClass(ConfigState state, ConfigCommand.RemoveClass remove) {
        if (remove.name().equals(ProgramClass.DEFAULT_NAME)) {
            throw failure(
                    ResultCode.VALUE_OUT_OF_RANGE,
                    remove,
                    "the class " + remove.name() + " cannot be removed");
        }
        return state.withoutClass(existing(state, remove.name(), remove).name());
    }

    private static ConfigState setOrganisation(
            ConfigState state, ConfigCommand.SetOrganisation set) {
        OrganisationPolicy changed = state.organisation(set.name());
        for (Map.Entry<OrganisationAttribute, Long> entry : set.values().entrySet()) {
            changed = changed.with(entry.getKey(), entry.getValue());
        }
        return state.withOrganisation(changed);
    }

    private static ConfigState undrain(ConfigState state, ConfigCommand.UndrainTarget undrain) {
        TreeSet<String> drained = new TreeSet<>(state.drainedTargets());
        if (!drained.remove(undrain.target())) {
            throw failure(
                    ResultCode.UNKNOWN_OBJECT,
                    undrain,
                    "the target " + undrain.target() + " is not drained");
        }
        return state.withDrainedTargets(drained);
    }

    private static ProgramClass existing(ConfigState state, String name, ConfigCommand command) {
        return state.classNamed(name)
                .orElseThrow(
                        () ->
                                failure(
                                        ResultCode.UNKNOWN_OBJECT,
                                        command,
                                        "the class " + name + " does not exist"));
    }

    private static ResultException failure(ResultCode code, ConfigCommand command, String message) {
        return Word.failure(code, StatementFormat.nameIndex(command), message);
    }
}
