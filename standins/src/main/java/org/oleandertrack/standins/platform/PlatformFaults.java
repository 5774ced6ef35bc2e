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

/** The faults that the platform stand-in simulates now. Thread-safe. */
final class PlatformFaults {

    /** What a request meets before it is executed. */
    enum Verdict {
        EXECUTE,
        /** Execute, then close the connection without an answer. */
        EXECUTE_AND_LOSE_REPLY,
        /** Close the connection without an answer and execute after a while. */
        EXECUTE_LATE,
        /** Answer with 503 without executing. */
        REFUSE,
        /** Answer with 429 without executing. */
        LIMIT,
    }

    private enum DownAs {
        CLOSE,
        REFUSE,
        LIMIT,
        HANG,
    }

    private record Settings(
            boolean down, DownAs downAs, long delayMillis, String prefix, Set<String> services) {

        boolean concerns(String service, List<String> keys) {
            return services.contains(service)
                    && (prefix.isEmpty() || keys.stream().anyMatch(k -> k.startsWith(prefix)));
        }
    }

    private static final Set<String> DEFAULT_SERVICES = Set.of("table", "objects");

    private final Gate mHang = new Gate();
    private Settings mSettings = new Settings(false, DownAs.CLOSE, 0, "", DEFAULT_SERVICES);
    private long mRepliesToLose;
    private long mWritesToRefuse;
    private long mLateWrites;
    private long mLateMillis;

    /** Replaces all faults; a field that is absent has its default, which is no fault. */
    synchronized void replace(JsonNode json) throws BadRequestException {
        boolean down =
                switch (json.path("mode").asText("up")) {
                    case "up" -> false;
                    case "down" -> true;
                    default -> throw new BadRequestException("mode is neither up nor down");
                };
        DownAs downAs =
                switch (json.path("downAs").asText("close")) {
                    case "close" -> DownAs.CLOSE;
                    case "refuse" -> DownAs.REFUSE;
                    case "limit" -> DownAs.LIMIT;
                    case "hang" -> DownAs.HANG;
                    default ->
                            throw new BadRequestException(
                                    "downAs is not close, refuse, limit or hang");
                };
        Set<String> services = new HashSet<>();
        json.path("services").forEach(service -> services.add(service.asText()));
        mSettings =
                new Settings(
                        down,
                        downAs,
                        json.path("delayMillis").asLong(0),
                        json.path("prefix").asText(""),
                        services.isEmpty() ? DEFAULT_SERVICES : services);
        mRepliesToLose = json.path("loseReplies").asLong(0);
        mWritesToRefuse = json.path("refuseWrites").asLong(0);
        mLateWrites = json.path("lateWrites").asLong(0);
        mLateMillis = json.path("lateMillis").asLong(1_000);
        mHang.setClosed(down && downAs == DownAs.HANG);
    }

    /**
     * Applies the faults that come before the execution of a request: an outage, then the delay.
     *
     * @throws IOException if the connection is to be closed without an answer
     */
    Verdict beforeExecution(String service, List<String> keys, boolean write) throws IOException {
        Settings settings = settings();
        if (!settings.concerns(service, keys)) {
            return Verdict.EXECUTE;
        }
        if (settings.down()) {
            return down(settings);
        }
        Pause.millis(settings.delayMillis());
        return write ? writeVerdict() : Verdict.EXECUTE;
    }

    /** Returns the time after which a late write is executed, in milliseconds. */
    synchronized long lateMillis() {
        return mLateMillis;
    }

    /** Returns how many requests hang now. */
    int held() {
        return mHang.held();
    }

    private Verdict down(Settings settings) throws IOException {
        if (settings.downAs() == DownAs.REFUSE) {
            return Verdict.REFUSE;
        }
        if (settings.downAs() == DownAs.LIMIT) {
            return Verdict.LIMIT;
        }
        if (settings.downAs() == DownAs.HANG) {
            mHang.pass();
        }
        throw new ConnectionAbortException("the simulated service is down");
    }

    private synchronized Settings settings() {
        return mSettings;
    }

    private synchronized Verdict writeVerdict() {
        if (mWritesToRefuse > 0) {
            mWritesToRefuse--;
            return Verdict.REFUSE;
        }
        if (mLateWrites > 0) {
            mLateWrites--;
            return Verdict.EXECUTE_LATE;
        }
        if (mRepliesToLose > 0) {
            mRepliesToLose--;
            return Verdict.EXECUTE_AND_LOSE_REPLY;
        }
        return Verdict.EXECUTE;
    }
}
