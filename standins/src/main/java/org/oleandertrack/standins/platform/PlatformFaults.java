package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Gate;
import org.oleandertrack.standins.http.Pause;

/** The faults that the platform stand-in currently simulates. Thread-safe. */
final class PlatformFaults {

    /** How a request is handled under the simulated faults. */
    enum Action {
        EXECUTE,
        /** Execute the request, then close the connection without a response. */
        EXECUTE_AND_DROP_RESPONSE,
        /** Close the connection without a response, and execute the request later. */
        EXECUTE_DEFERRED,
        /** Respond with status 503 without executing the request. */
        REFUSE,
        /** Respond with status 429 without executing the request. */
        LIMIT_RATE,
    }

    /** How requests fail during a simulated outage. */
    private enum OutageMode {
        CLOSE,
        REFUSE,
        LIMIT_RATE,
        HANG,
    }

    /**
     * An outage or delay, and the requests that the faults apply to.
     *
     * @param keyPrefix prefix of the keys that the faults apply to; empty for all keys
     * @param services services that the faults apply to
     */
    private record Settings(
            boolean down,
            OutageMode outageMode,
            long delayMillis,
            String keyPrefix,
            Set<String> services) {

        boolean appliesTo(String service, List<String> keys) {
            return services.contains(service)
                    && (keyPrefix.isEmpty()
                            || keys.stream().anyMatch(k -> k.startsWith(keyPrefix)));
        }
    }

    private static final Set<String> DEFAULT_SERVICES = Set.of("table", "objects");

    private final Gate mHangGate = new Gate();
    private Settings mSettings = new Settings(false, OutageMode.CLOSE, 0, "", DEFAULT_SERVICES);
    private long mResponsesToDrop;
    private long mWritesToRefuse;
    private long mWritesToDefer;
    private long mDeferMillis;

    /**
     * Replaces all faults. An absent field means that its fault is not simulated; without {@code
     * services} the faults apply to tables and objects, and without {@code lateMillis} writes are
     * deferred by 1 s.
     */
    synchronized void replace(JsonNode json) throws BadRequestException {
        boolean down =
                switch (json.path("mode").asText("up")) {
                    case "up" -> false;
                    case "down" -> true;
                    default -> throw new BadRequestException("mode is neither up nor down");
                };
        OutageMode outageMode =
                switch (json.path("downAs").asText("close")) {
                    case "close" -> OutageMode.CLOSE;
                    case "refuse" -> OutageMode.REFUSE;
                    case "limit" -> OutageMode.LIMIT_RATE;
                    case "hang" -> OutageMode.HANG;
                    default ->
                            throw new BadRequestException(
                                    "downAs is not close, refuse, limit or hang");
                };
        Set<String> services = new HashSet<>();
        json.path("services").forEach(service -> services.add(service.asText()));
        mSettings =
                new Settings(
                        down,
                        outageMode,
                        json.path("delayMillis").asLong(0),
                        json.path("prefix").asText(""),
                        services.isEmpty() ? DEFAULT_SERVICES : services);
        mResponsesToDrop = json.path("loseReplies").asLong(0);
        mWritesToRefuse = json.path("refuseWrites").asLong(0);
        mWritesToDefer = json.path("lateWrites").asLong(0);
        mDeferMillis = json.path("lateMillis").asLong(1_000);
        mHangGate.setClosed(down && outageMode == OutageMode.HANG);
    }

    /**
     * Applies the faults that precede the execution of a request, first an outage and then a delay,
     * and returns how the request is to be handled.
     *
     * @throws IOException if the connection is to be closed without a response
     */
    Action applyBeforeExecution(String service, List<String> keys, boolean isWrite)
            throws IOException {
        Settings settings = settings();
        if (!settings.appliesTo(service, keys)) {
            return Action.EXECUTE;
        }
        if (settings.down()) {
            return outageAction(settings);
        }
        Pause.sleepMillis(settings.delayMillis());
        return isWrite ? nextWriteAction() : Action.EXECUTE;
    }

    /** Returns the time after which a deferred write is executed, in milliseconds. */
    synchronized long deferMillis() {
        return mDeferMillis;
    }

    /** Returns the number of requests that currently hang. */
    int hangingRequests() {
        return mHangGate.waitingRequests();
    }

    private Action outageAction(Settings settings) throws IOException {
        if (settings.outageMode() == OutageMode.REFUSE) {
            return Action.REFUSE;
        }
        if (settings.outageMode() == OutageMode.LIMIT_RATE) {
            return Action.LIMIT_RATE;
        }
        if (settings.outageMode() == OutageMode.HANG) {
            mHangGate.awaitOpen();
        }
        throw new ConnectionAbortException("a simulated outage closes the connection");
    }

    private synchronized Settings settings() {
        return mSettings;
    }

    private synchronized Action nextWriteAction() {
        if (mWritesToRefuse > 0) {
            mWritesToRefuse--;
            return Action.REFUSE;
        }
        if (mWritesToDefer > 0) {
            mWritesToDefer--;
            return Action.EXECUTE_DEFERRED;
        }
        if (mResponsesToDrop > 0) {
            mResponsesToDrop--;
            return Action.EXECUTE_AND_DROP_RESPONSE;
        }
        return Action.EXECUTE;
    }
}
