package org.oleandertrack.standins.published;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records which server executed which request. Thread-safe. */
public final class ExecutionLog {

    /**
     * One execution of a request by a server.
     *
     * @param body the body that the server received
     * @param status status of the server's response; 0 if it sends no response
     * @param endless whether the server sends {@link ResponseWriter#FILLER} without end
     */
    public record Execution(
            String requestId,
            String serverId,
            String body,
            int status,
            boolean endless,
            long startNanos) {}

    private final Map<String, List<Execution>> mExecutions = new ConcurrentHashMap<>();

    /** Returns the executions of a request. */
    public List<Execution> executionsOf(String requestId) {
        return mExecutions.getOrDefault(requestId, List.of());
    }

    /** Returns the executions of all requests. */
    public List<Execution> all() {
        return mExecutions.values().stream().flatMap(List::stream).toList();
    }

    void add(Execution execution) {
        mExecutions.compute(
                execution.requestId(),
                (id, previous) -> {
                    List<Execution> all = new ArrayList<>(previous == null ? List.of() : previous);
                    all.add(execution);
                    return List.copyOf(all);
                });
    }
}
