package org.oleandertrack.standins.published;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records which server executed which request. Thread-safe. */
public final class RunLog {

    /** One execution of a request by a server. */
    public record Run(String requestId, String serverId, long startNanos) {}

    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();

    /** Returns the executions of a request. */
    public List<Run> runsOf(String requestId) {
        return mRuns.getOrDefault(requestId, List.of());
    }

    /** Returns the executions of all requests. */
    public List<Run> all() {
        return mRuns.values().stream().flatMap(List::stream).toList();
    }

    void add(Run run) {
        mRuns.compute(
                run.requestId(),
                (id, runs) -> {
                    List<Run> all = new ArrayList<>(runs == null ? List.of() : runs);
                    all.add(run);
                    return List.copyOf(all);
                });
    }
}
