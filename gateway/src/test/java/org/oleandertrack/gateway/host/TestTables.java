package org.oleandertrack.gateway.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.organisation.KeyDigest;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.OrganisationDirectory;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.traffic.CallerLimits;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteShare;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;

/**
 * Row formats of the tests. The row of a configuration holds its version, and then the name of each
 * organisation, followed by ":rate:burst" if it has a limit, and its key in turn; the row of a
 * target holds "service port draining startedAtMillis", and the version of the software if it is
 * not "v1".
 */
final class TestTables implements PlatformTables {

    static final String CONFIG = "config";
    static final String TARGETS = "targets";
    static final long TIMEOUT_MILLIS = 1_500;
    static final long PATIENT_TIMEOUT_MILLIS = 30_000;

    @Override
    public String configTable() {
        return CONFIG;
    }

    @Override
    public String targetTable() {
        return TARGETS;
    }

    @Override
    public Optional<TrafficConfig> readConfig(StoredRow row) {
        String[] words = row.value().split(" ", -1);
        long version = Long.parseLong(words[0]);
        Map<String, ServiceSpec> services = new HashMap<>();
        services.put(
                "engine",
                new ServiceSpec("engine", 100, Optional.of(new EngineSpec(4, 10_000, 5))));
        services.put("tool", new ServiceSpec("tool", 100, Optional.empty()));
        return Optional.of(
                new TrafficConfig(
                        version,
                        List.of(
                                route("turn", RequestKind.STREAMING, "engine"),
                                route("talk", RequestKind.STREAMING, "engine"),
                                route("kept", RequestKind.STREAMING, "engine"),
                                route("relay", RequestKind.STREAMING, "engine"),
                                route("safe", RequestKind.SAFE, "tool"),
                                route("lookup", RequestKind.SAFE, "tool"),
                                route("open", RequestKind.SAFE, "tool"),
                                route("unsafe", RequestKind.UNSAFE, "tool"),
                                route(
                                        "patient",
                                        RequestKind.UNSAFE,
                                        "tool",
                                        PATIENT_TIMEOUT_MILLIS),
                                route("v" + version, RequestKind.SAFE, "tool")),
                        services,
                        CallerLimits.DEFAULT,
                        readOrganisations(words)));
    }

    private static OrganisationDirectory readOrganisations(String[] words) {
        List<Organisation> organisations = new ArrayList<>();
        for (int i = 1; i + 1 < words.length; i += 2) {
            String[] parts = words[i].split(":", -1);
            organisations.add(
                    new Organisation(
                            parts[0],
                            Set.of(KeyDigest.ofKey(words[i + 1])),
                            OptionalInt.empty(),
                            parts.length == 1
                                    ? Optional.empty()
                                    : Optional.of(
                                            new RequestLimit(
                                                    Double.parseDouble(parts[1]),
                                                    Double.parseDouble(parts[2])))));
        }
        return new OrganisationDirectory(words.length > 1, organisations, List.of());
    }

    @Override
    public StoredRow withoutSecrets(StoredRow row) {
        return row;
    }

    private static Route route(String name, RequestKind kind, String service) {
        return route(name, kind, service, TIMEOUT_MILLIS);
    }

    private static Route route(String name, RequestKind kind, String service, long timeoutMillis) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                timeoutMillis,
                200,
                0,
                name.equals("relay") || name.equals("lookup") ? 3 : 1,
                !name.equals("talk"),
                300,
                name.equals("talk") || name.equals("kept"),
                60_000,
                name.equals("open"),
                List.of(new RouteShare(service, 1)));
    }

    @Override
    public Optional<TargetRecord> readTarget(StoredRow row) {
        String[] words = row.value().split(" ", -1);
        if (words.length < 4) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetRecord(
                        row.id().key(),
                        words[0],
                        "127.0.0.1",
                        Integer.parseInt(words[1]),
                        "zone",
                        words.length > 4 ? words[4] : "v1",
                        Boolean.parseBoolean(words[2]),
                        4,
                        OptionalLong.of(Long.parseLong(words[3]))));
    }
}
