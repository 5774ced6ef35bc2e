package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Optional;

/** A statement of the scenario language; see docs/scenario-language.md. */
sealed interface Statement {

    /** Names the invariants that the scenario guards. */
    record Guards(List<String> invariants) implements Statement {}

    /** Runs on a named deployment that other scenarios share. */
    record Uses(String deployment) implements Statement {}

    /** Compares all exchanges with a golden file. */
    record Golden() implements Statement {}

    /** Adds TOML text to the settings of daemons of a role started afterwards. */
    record Settings(String role, String toml) implements Statement {}

    /** Starts the platform's stand-in. */
    record StartPlatform() implements Statement {}

    /** Starts a target's stand-in and the sidecar beside it. */
    record StartTarget(
            boolean engine, String name, String offer, String zone, List<String> arguments)
            implements Statement {}

    /** Starts an entry host. */
    record StartEntry(String node, String zone) implements Statement {}

    /** Does something to a process. */
    record Signal(Kind kind, String name) implements Statement {

        enum Kind {
            KILL,
            FREEZE,
            RESUME,
            TERMINATE,
            STOP,
            RESTART,
            LEAVING
        }
    }

    /** Replaces the faults of a stand-in. */
    record Fault(String name, String json) implements Statement {}

    /** Sends a request. */
    record Send(Request request, Optional<String> as, Mode mode, String source)
            implements Statement {

        enum Mode {
            /** Waits for the answer. */
            ONCE,

            /** Goes on with the scenario while the request runs. */
            BACKGROUND,

            /**
             * Sends the request again while it is refused as not run and may be sent later. A turn
             * is also sent again when its outcome is unknown, because its number makes that safe.
             */
            RETRYING
        }
    }

    /** Closes the connection of a request in the background. */
    record Leave(String call) implements Statement {}

    /** Starts a bounded load in the background. */
    record StartLoad(BackgroundLoad.Plan plan) implements Statement {}

    /** Starts no more programs in a background load and waits until those under way end. */
    record FinishLoad(String load) implements Statement {}

    /** Waits until an entry host is ready. */
    record AwaitReady(String node) implements Statement {}

    /** Waits until each running entry host reaches all other running processes of the system. */
    record AwaitConnected() implements Statement {}

    /** Waits until a process has ended. */
    record AwaitExit(String name) implements Statement {}

    /** Waits for the answer of a request in the background. */
    record AwaitCall(String call) implements Statement {}

    /** Waits until the first bytes of an answer's body have arrived. */
    record AwaitBody(String call) implements Statement {}

    /** Waits until a count is within a bound. */
    record AwaitCount(Count count, Bound bound) implements Statement {}

    /** Fails the scenario unless a check holds. */
    record Expect(Check check) implements Statement {}
}
