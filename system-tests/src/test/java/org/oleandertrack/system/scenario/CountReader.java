package org.oleandertrack.system.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.oleandertrack.system.LocalDeployment;

/** Reads the current values of counts from processes and background loads. */
final class CountReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment mDeployment;
    private final ScenarioHttp mHttp;
    private final Map<String, BackgroundLoad> mLoads;

    CountReader(LocalDeployment deployment, ScenarioHttp http, Map<String, BackgroundLoad> loads) {
        mDeployment = deployment;
        mHttp = http;
        mLoads = loads;
    }

    long read(Count count) {
        return switch (count) {
            case Count.Stats stats -> readStats(stats);
            case Count.Executions executions -> readExecutions(executions);
            case Count.RepeatedKeys repeated -> countRepeatedKeys(repeated.name());
            case Count.Held held -> getServiceExecutions(held.name()).path("held").asLong();
            case Count.Metric metric -> readMetric(metric);
            case Count.Rows rows -> countRows(rows);
            case Count.Lost lost -> load(lost.load()).lost().size();
            case Count.Completed completed -> load(completed.load()).completed();
        };
    }

    /** Describes a count and its current value for a failure message. */
    String describe(Count count) {
        String detail = count instanceof Count.Lost lost ? " " + load(lost.load()).lost() : "";
        return count + " is " + read(count) + detail;
    }

    // Helpers

    private long readStats(Count.Stats stats) {
        JsonNode value = parseJson(getPage(stats.name(), "/control/stats")).path(stats.field());
        if (!value.isNumber()) {
            throw new AssertionError(stats.name() + " reports no number " + stats.field());
        }
        return value.asLong();
    }

    private long readExecutions(Count.Executions executions) {
        long sum = 0;
        for (JsonNode entry : getServiceExecutions(executions.name()).path("executions")) {
            if (entry.path("idempotencyKey").asText("").equals(executions.key())) {
                sum += entry.path("count").asLong();
            }
        }
        return sum;
    }

    private long countRepeatedKeys(String name) {
        long repeated = 0;
        for (JsonNode entry : getServiceExecutions(name).path("executions")) {
            boolean hasKey = !entry.path("idempotencyKey").asText("").isEmpty();
            if (hasKey && entry.path("count").asLong() > 1) {
                repeated++;
            }
        }
        return repeated;
    }

    private JsonNode getServiceExecutions(String name) {
        return parseJson(getPage(name, "/control/executions"));
    }

    private long readMetric(Count.Metric metric) {
        String text = mHttp.getPage(mDeployment.adminAddress(metric.node()).resolve("/metrics"));
        return text.lines()
                .filter(
                        line ->
                                line.startsWith(metric.metric() + " ")
                                        || line.startsWith(metric.metric() + "{"))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    private long countRows(Count.Rows rows) {
        Answer answer =
                mHttp.send(mDeployment.address(rows.node()), RequestFactory.createCtl(rows.query()))
                        .await();
        if (answer.status() != 200) {
            throw new AssertionError(rows.query() + ": " + answer);
        }
        return parseJson(answer.body()).path("rows").size();
    }

    private String getPage(String name, String path) {
        return mHttp.getPage(mDeployment.address(name).resolve(path));
    }

    private BackgroundLoad load(String name) {
        BackgroundLoad load = mLoads.get(name);
        if (load == null) {
            throw new AssertionError("no load has the name " + name);
        }
        return load;
    }

    private static JsonNode parseJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new AssertionError("not JSON: " + text, e);
        }
    }
}
