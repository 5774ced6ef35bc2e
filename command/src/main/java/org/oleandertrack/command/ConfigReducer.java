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
 * Applies changes to the configuration. The result depends only on the previous state and the
 * change, so all processes that apply the same log of changes have the same state. Thread-safe.
 */
public final class ConfigReducer {

    /**
     * Returns the state after a change; its version is one higher.
     *
     * @throws ResultException with VERSION_CONFLICT if the change replaces another version than
     *     that of the state, with UNKNOWN_OBJECT if the class or drained target that it names does
     *     not exist, or with VALUE_OUT_OF_RANGE if it removes the default class. Positions in the
     *     message refer to the canonical form of the change.
     */
    public ConfigState apply(ConfigState state, ConfigCommand command) {
        long replaced = command.replacedVersion().orElse(state.version());
        if (replaced != state.version()) {
            throw new ResultException(
                    ResultCode.VERSION_CONFLICT,
                    "the change replaces version "
                            + replaced
                            + ", but version "
                            + state.version()
                            + " is in force");
        }
        return applyChange(state, command).withVersion(state.version() + 1);
    }

    // Helpers

    private static ConfigState applyChange(ConfigState state, ConfigCommand command) {
        return switch (command) {
            case ConfigCommand.SetClass set -> setClass(state, set);
            case ConfigCommand.RemoveClass remove -> removeClass(state, remove);
            case ConfigCommand.SetOrganisation set -> setOrganisation(state, set);
            case ConfigCommand.SetTargets set ->
                    state.withClass(
                            requireClass(state, set.name(), set).withTargets(set.targets()));
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
        return state.withoutClass(requireClass(state, remove.name(), remove).name());
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

    private static ProgramClass requireClass(
            ConfigState state, String name, ConfigCommand command) {
        return state.classNamed(name)
                .orElseThrow(
                        () ->
                                failure(
                                        ResultCode.UNKNOWN_OBJECT,
                                        command,
                                        "the class " + name + " does not exist"));
    }

    private static ResultException failure(ResultCode code, ConfigCommand command, String message) {
        return PositionedText.failure(code, StatementFormat.nameIndex(command), message);
    }
}
