package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.oleandertrack.command.Query;
import org.oleandertrack.command.QueryObject;
import org.oleandertrack.coordination.lease.ShardHolder;
import org.oleandertrack.coordination.lease.ShardOwnership;
import org.oleandertrack.coordination.program.ProgramRow;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ConfigState;
import org.oleandertrack.core.config.OrganisationPolicy;
import org.oleandertrack.core.config.ProgramClass;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Hello;

/** Answers operators' queries from the state of this process. Thread safe. */
final class QueryService {

    private final LocalNode mNode;
    private final ActiveCalls mActiveCalls;
    private final HostDirectory mHosts;
    private final ShardRegistry mShardRegistry;
    private final ShardOwnership mShardOwnership;
    private final int mShardCount;
    private final ConfigSource mConfig;
    private final LongSupplier mNanoClock;

    QueryService(
            LocalNode node,
            ActiveCalls activeCalls,
            HostDirectory hosts,
            ShardRegistry shardRegistry,
            ShardOwnership shardOwnership,
            int shardCount,
            ConfigSource config,
            LongSupplier nanoClock) {
        mNode = node;
        mActiveCalls = activeCalls;
        mHosts = hosts;
        mShardRegistry = shardRegistry;
        mShardOwnership = shardOwnership;
        mShardCount = shardCount;
        mConfig = config;
        mNanoClock = nanoClock;
    }

    // Operations

    /** Returns the rows of this process that match a query. */
    StatementResult runLocally(Query query) {
        List<String> columns = query.object().columns();
        List<List<String>> rows = new ArrayList<>();
        rows(query.object())
                .filter(query::matches)
                .forEach(
                        row ->
                                rows.add(
                                        columns.stream()
                                                .map(column -> row.getOrDefault(column, ""))
                                                .toList()));
        return StatementResult.of(columns, rows);
    }

    /**
     * Tells whether entry hosts have different rows of an object, so that a query asks all of them.
     */
    static boolean isPerEntryHost(QueryObject object) {
        return switch (object) {
            case RUNNING, WAITING, REFUSED, PROGRAMS, ORGANISATIONS, MEMBERS -> true;
            case TARGETS, CONFIG, SHARDS -> false;
        };
    }

    // Helpers: calls and programs

    private Stream<Map<String, String>> rows(QueryObject object) {
        return switch (object) {
            case RUNNING ->
                    mActiveCalls.calls().stream()
                            .filter(call -> call.target().isPresent())
                            .map(this::runningRow);
            case WAITING ->
                    mActiveCalls.calls().stream()
                            .filter(call -> call.target().isEmpty())
                            .map(this::waitingRow);
            case REFUSED -> mActiveCalls.refusals().stream().map(this::refusalRow);
            case PROGRAMS -> programRows();
            case TARGETS -> mHosts.targets().stream().map(this::targetRow);
            case ORGANISATIONS -> organisationRows();
            case CONFIG -> configRows();
            case MEMBERS -> memberRows();
            case SHARDS -> shardRows();
        };
    }

    private Map<String, String> runningRow(ActiveCall call) {
        Map<String, String> row = requestRow(call.request());
        TargetHandle target = call.target().orElseThrow();
        row.put("target", target.name());
        row.put("zone", target.zone());
        row.put("running-millis", millisSince(call.dispatchNanos()));
        return row;
    }

    private Map<String, String> waitingRow(ActiveCall call) {
        Map<String, String> row = requestRow(call.request());
        row.put("waiting-millis", millisSince(call.startNanos()));
        return row;
    }

    private Map<String, String> refusalRow(ActiveCalls.Refusal refusal) {
        Map<String, String> row = requestRow(refusal.request());
        row.put("code", Integer.toString(refusal.failure().code().number()));
        row.put("name", refusal.failure().code().name());
        row.put("age-millis", millisSince(refusal.failedAtNanos()));
        return row;
    }

    private static Map<String, String> requestRow(CallerRequest request) {
        Map<String, String> row = new HashMap<>();
        row.put("organisation", request.organisation());
        row.put("program", request.program().orElse(""));
        row.put("class", request.programClass());
        row.put("turn", Integer.toString(request.turn()));
        return row;
    }

    private Stream<Map<String, String>> programRows() {
        return mShardRegistry.heldShards().values().stream()
                .flatMap(
                        shard ->
                                shard.programs().stream()
                                        .flatMap(root -> programRow(shard, root).stream()));
    }

    private Optional<Map<String, String>> programRow(HeldShard shard, RootProgram root) {
        return root.session()
                .flatMap(session -> session.row(root.key().program()))
                .filter(row -> !row.ended())
                .map(row -> programRow(shard, root, row));
    }

    private Map<String, String> programRow(
            HeldShard shard, RootProgram root, ProgramRow programRow) {
        Map<String, String> row = new HashMap<>();
        row.put("organisation", root.key().organisation());
        row.put("program", root.key().program());
        row.put("class", programRow.programClass());
        row.put("state", root.runningPrograms().isEmpty() ? "idle" : "running");
        row.put("turn", Long.toString(programRow.headTurn()));
        row.put("spent-tokens", Long.toString(programRow.spentTokens()));
        row.put("budget-tokens", Long.toString(programRow.budgetTokens()));
        row.put("shard", Integer.toString(shard.shard()));
        row.put("holder", mNode.node());
        return row;
    }

    private Stream<Map<String, String>> organisationRows() {
        Map<String, Map<String, String>> rows = new HashMap<>();
        for (ActiveCall call : mActiveCalls.calls()) {
            String column = call.target().isPresent() ? "running" : "waiting";
            organisationRow(rows, call.request().organisation())
                    .merge(column, "1", (sum, one) -> Long.toString(Long.parseLong(sum) + 1));
        }
        for (HeldShard shard : mShardRegistry.heldShards().values()) {
            shard.programs().forEach(root -> organisationRow(rows, root.key().organisation()));
        }
        mConfig.state().organisations().keySet().forEach(name -> organisationRow(rows, name));
        return rows.values().stream();
    }

    private Map<String, String> organisationRow(
            Map<String, Map<String, String>> rows, String name) {
        return rows.computeIfAbsent(
                name,
                key -> {
                    OrganisationPolicy policy = mConfig.state().organisation(key);
                    Map<String, String> row = new HashMap<>();
                    row.put("organisation", key);
                    row.put("weight", Integer.toString(policy.weight()));
                    row.put("max-running", Integer.toString(policy.maxRunning()));
                    row.put("budget-tokens", Long.toString(policy.budgetTokens()));
                    row.put("running", "0");
                    row.put("waiting", "0");
                    return row;
                });
    }

    // Helpers: targets, members and shards

    private Map<String, String> targetRow(TargetHandle target) {
        Map<String, String> row = new HashMap<>();
        boolean drained = mConfig.state().drainedTargets().contains(target.name());
        long running =
                mActiveCalls.calls().stream()
                        .filter(call -> call.target().filter(target::equals).isPresent())
                        .count();
        row.put("target", target.name());
        row.put("zone", target.zone());
        row.put("kind", target.hostEntry().service().isEmpty() ? "model" : "service");
        row.put("models", target.hostEntry().models());
        row.put("service", target.hostEntry().service());
        row.put("state", stateOf(target));
        row.put("drained", Boolean.toString(drained));
        row.put("running", Long.toString(running));
        return row;
    }

    private static String stateOf(TargetHandle target) {
        if (target.isLeaving()) {
            return "leaving";
        }
        return target.connection().isPresent() ? "reachable" : "unreachable";
    }

    private Stream<Map<String, String>> memberRows() {
        Map<String, String> own = new HashMap<>();
        own.put("node", mNode.node());
        own.put("role", "entry");
        own.put("zone", mNode.zone());
        own.put("incarnation", Long.toHexString(mNode.incarnation()));
        own.put("state", "live");
        own.put("config-version", Long.toString(mConfig.state().version()));
        return Stream.of(own);
    }

    /**
     * Returns rows for the sidecars that this process knows. Sidecars do not answer queries
     * themselves.
     */
    List<Map<String, String>> sidecarRows() {
        List<Map<String, String>> rows = new ArrayList<>();
        for (TargetHandle target : mHosts.targets()) {
            Optional<Hello> peer = target.connection().map(PeerConnection::peer);
            Map<String, String> row = new HashMap<>();
            row.put("node", target.node());
            row.put("role", "sidecar");
            row.put("zone", target.zone());
            row.put("address", target.hostEntry().address() + ":" + target.hostEntry().port());
            row.put(
                    "incarnation",
                    peer.map(hello -> Long.toHexString(hello.getIncarnation())).orElse(""));
            row.put("state", stateOf(target));
            rows.add(row);
        }
        return rows;
    }

    private Stream<Map<String, String>> shardRows() {
        List<Map<String, String>> rows = new ArrayList<>();
        for (int shard = 0; shard < mShardCount; shard++) {
            Map<String, String> row = new HashMap<>();
            row.put("shard", Integer.toString(shard));
            Optional<ShardHolder> holder = mShardOwnership.holder(shard);
            row.put("holder", holder.map(ShardHolder::node).orElse(""));
            row.put(
                    "incarnation",
                    holder.map(value -> Long.toHexString(value.incarnation())).orElse(""));
            row.put("fence", holder.map(value -> Long.toString(value.fence())).orElse(""));
            rows.add(row);
        }
        return rows.stream();
    }

    // Helpers: configuration

    private Stream<Map<String, String>> configRows() {
        ConfigState state = mConfig.state();
        List<Map<String, String>> rows = new ArrayList<>();
        for (ProgramClass programClass : state.classes().values()) {
            for (ClassAttribute attribute : ClassAttribute.values()) {
                rows.add(
                        configRow(
                                state,
                                "class",
                                programClass.name(),
                                attribute.text(),
                                Long.toString(programClass.value(attribute))));
            }
            rows.add(
                    configRow(
                            state,
                            "class",
                            programClass.name(),
                            "targets",
                            listOrAll(programClass.targets())));
            rows.add(
                    configRow(
                            state,
                            "class",
                            programClass.name(),
                            "models",
                            listOrAll(programClass.models())));
        }
        for (String target : state.drainedTargets()) {
            rows.add(configRow(state, "target", target, "drained", "true"));
        }
        return Collections.unmodifiableList(rows).stream();
    }

    private static String listOrAll(Collection<String> names) {
        return names.isEmpty() ? "*" : String.join(",", names);
    }

    private static Map<String, String> configRow(
            ConfigState state, String kind, String name, String attribute, String value) {
        return Map.of(
                "version", Long.toString(state.version()),
                "kind", kind,
                "name", name,
                "attribute", attribute,
                "value", value);
    }

    private String millisSince(long nanos) {
        return Long.toString(TimeUnit.NANOSECONDS.toMillis(mNanoClock.getAsLong() - nanos));
    }
}
