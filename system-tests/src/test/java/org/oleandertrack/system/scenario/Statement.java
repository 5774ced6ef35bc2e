package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Optional;

/** A statement of the scenario language; see docs/scenario-language.md. */
sealed interface Statement {

    /** Lists the invariants that the scenario tests, by their ids I1 to I10. */
    record Guards(List<String> invariants) implements Statement {}

    /** Runs the scenario on the named deployment, which other scenarios use too. */
    record Uses(String deployment) implements Statement {}

    /** Compares all requests and answers of the scenario with a golden file. */
    record Golden() implements Statement {}

    /** Appends TOML text to the settings of daemons of a role that are started later. */
    record Settings(String role, String toml) implements Statement {}

    /** Starts the platform's stand-in. */
    record StartPlatform() implements Statement {}

    /**
     * Starts the stand-in of a target, and the target's sidecar.
     *
     * @param modelsOrService names of the models, separated by commas, if the target is an engine;
     *     otherwise the name of the service
     */
    record StartTarget(
            boolean isEngine,
            String name,
            String modelsOrService,
            String zone,
            List<String> arguments)
            implements Statement {}

    /** Starts an entry host. */
    record StartEntry(String node, String zone) implements Statement {}

    /** Signals, stops or restarts a process, or marks its host as leaving. */
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

    /** Replaces the faults that a stand-in simulates. */
    record Fault(String name, String json) implements Statement {}

    /** Sends a request. */
    record Send(Request request, Optional<String> name, Mode mode, String sourceLine)
            implements Statement {

        enum Mode {
            /** Waits for the answer. */
            ONCE,

            /** Continues with the next statement while the request is running. */
            BACKGROUND,

            /**
             * Sends the request again as long as it is refused as not run with the advice to retry
             * later. A turn is also sent again if its outcome is unknown; the turn number prevents
             * it from running twice.
             */
            RETRYING
        }
    }

    /** Closes the connection of a background request before its answer is complete. */
    record Leave(String call) implements Statement {}

    /** Starts a background load. */
    record StartLoad(BackgroundLoad.Plan plan) implements Statement {}

    /** Finishes a background load: starts no further programs and waits for the running ones. */
    record FinishLoad(String load) implements Statement {}

    /** Waits until an entry host is ready. */
    record AwaitReady(String node) implements Statement {}

    /** Waits until each running entry host is connected to all running entry hosts and sidecars. */
    record AwaitConnected() implements Statement {}

    /** Waits until a process has ended. */
    record AwaitExit(String name) implements Statement {}

    /** Waits for the answer to a background request. */
    record AwaitCall(String call) implements Statement {}

    /** Waits until the first bytes of an answer's body have arrived. */
    record AwaitBody(String call) implements Statement {}

    /** Waits until a count satisfies a bound. */
    record AwaitCount(Count count, Bound bound) implements Statement {}

    /** Fails the scenario unless a check holds. */
    record Expect(Check check) implements Statement {}
}
