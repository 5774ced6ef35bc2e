package org.oleandertrack.gateway.organisation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Assertions;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.gateway.call.OrganisationLimiter;

/**
 * Guards against permits that are issued twice: by an issuer that forgets what it issued before a
 * restart or freeze, or by two hosts that both believe to be the issuer. The hosts are flooded
 * through random orders of faults, and the sum of each window is checked.
 */
final class LimitWindowPropertyTest {

    private static final int WINDOW_STEPS = (int) (5_000 / FleetModel.STEP_MILLIS);
    private static final int CHANGE_STEPS = (int) (3_000 / FleetModel.STEP_MILLIS);
    private static final List<String> ORGANISATIONS = List.of("birch", "cedar", "hazel");

    /** One event of a run, after which the flood goes on for the given time. */
    record Event(Kind kind, int host, int other, int millis) {}

    enum Kind {
        KILL,
        RESTART,
        QUICK_RESTART,
        FREEZE,
        ISOLATE,
        CUT_PAIR,
        SPLIT,
        HEAL,
        ADD_HOST,
        CHANGE_LIMIT,
        FLOOD_ONE_HOST,
        FLOOD_ALL,
        REST
    }

    @Provide
    Arbitrary<List<Event>> events() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(10, 3_000))
                .as(Event::new)
                .list()
                .ofMaxSize(16);
    }

    @Provide
    Arbitrary<RequestLimit> limits() {
        return Combinators.combine(
                        Arbitraries.of(1.0, 10.0, 40.0, 185.0),
                        Arbitraries.of(0.0, 10.0, 100.0, 400.0))
                .as(RequestLimit::new);
    }

    @Property(tries = 300)
    void noWindowExceedsTheLimit(
            @ForAll("events") List<Event> events,
            @ForAll("limits") RequestLimit limit,
            @ForAll("limits") RequestLimit changed,
            @ForAll long seed) {
        FleetModel fleet = new FleetModel(2 + (int) Math.floorMod(seed, 6L), seed);
        ORGANISATIONS.forEach(name -> fleet.limit(name, limit, 0));
        List<RequestLimit> limits = new ArrayList<>();
        Flood flood = new Flood(fleet, limits);
        flood.run(4_000, limit);
        RequestLimit current = limit;
        for (Event event : events) {
            FleetModel.Host host = fleet.hosts().get(event.host() % fleet.hosts().size());
            FleetModel.Host other = fleet.hosts().get(event.other() % fleet.hosts().size());
            switch (event.kind()) {
                case KILL -> host.kill();
                case RESTART -> host.start();
                case QUICK_RESTART -> {
                    host.kill();
                    host.start();
                }
                case FREEZE -> host.freeze(event.millis() * 2L);
                case ISOLATE -> fleet.hosts().forEach(any -> fleet.cut(host, any));
                case CUT_PAIR -> fleet.cut(host, other);
                case SPLIT -> split(fleet, event.host() + 8 * event.other());
                case HEAL -> fleet.heal();
                case ADD_HOST -> addHost(fleet);
                case CHANGE_LIMIT -> {
                    current = current.equals(limit) ? changed : limit;
                    for (String name : ORGANISATIONS) {
                        fleet.limit(name, current, 2_000);
                    }
                }
                case FLOOD_ONE_HOST -> flood.mOnlyHost = Optional.of(host);
                case FLOOD_ALL -> flood.mOnlyHost = Optional.empty();
                case REST -> flood.rest(event.millis() * 4L, current);
            }
            flood.run(event.millis(), current);
        }
        ORGANISATIONS.forEach(name -> checkWindows(fleet.sends(name), limits));
    }

    private static void split(FleetModel fleet, int sides) {
        for (int i = 0; i < fleet.hosts().size(); i++) {
            for (int j = 0; j < i; j++) {
                if (((sides >> i) & 1) != ((sides >> j) & 1)) {
                    fleet.cut(fleet.hosts().get(i), fleet.hosts().get(j));
                }
            }
        }
    }

    private static void addHost(FleetModel fleet) {
        if (fleet.hosts().size() < 12) {
            fleet.addHost();
        }
    }

    private static void checkWindows(List<Integer> sends, List<RequestLimit> limits) {
        int sum = 0;
        for (int i = 0; i < sends.size(); i++) {
            sum += sends.get(i) - (i >= WINDOW_STEPS ? sends.get(i - WINDOW_STEPS) : 0);
            double most = 0;
            for (int j = Math.max(0, i - WINDOW_STEPS - CHANGE_STEPS); j <= i; j++) {
                RequestLimit limit = limits.get(j);
                most = Math.max(most, 5 * limit.requestsPerSecond() + limit.burst());
            }
            Assertions.assertTrue(
                    sum <= most * 1.1 + 20, sum + " sent up to step " + i + ", limit " + most);
        }
    }

    /** More requests than the limit, at all hosts or at one. */
    private static final class Flood {
        private final FleetModel mFleet;
        private final List<RequestLimit> mLimits;
        private Optional<FleetModel.Host> mOnlyHost = Optional.empty();
        private int mPrograms;

        Flood(FleetModel fleet, List<RequestLimit> limits) {
            mFleet = fleet;
            mLimits = limits;
        }

        void rest(long millis, RequestLimit limit) {
            for (long passed = 0; passed < millis; passed += FleetModel.STEP_MILLIS) {
                mFleet.step();
                mLimits.add(limit);
            }
        }

        void run(long millis, RequestLimit limit) {
            for (long passed = 0; passed < millis; passed += FleetModel.STEP_MILLIS) {
                mFleet.step();
                mLimits.add(limit);
                List<FleetModel.Host> hosts =
                        mOnlyHost.map(List::of).orElseGet(() -> List.copyOf(mFleet.hosts()));
                // A burst of 400 is used up within about a second.
                int tries = Math.ceilDiv(14, hosts.size());
                for (FleetModel.Host host : hosts) {
                    for (int i = 0; i < tries && host.isUp(); i++) {
                        ORGANISATIONS.forEach(name -> request(host, name));
                    }
                }
            }
        }

        private void request(FleetModel.Host host, String organisation) {
            int kind = mFleet.random().nextInt(10);
            if (kind == 0) {
                giveBackUnused(host, organisation);
                return;
            }
            mPrograms += kind < 4 ? 1 : 0;
            var _ =
                    host.send(
                            organisation,
                            kind < 8 ? Optional.of("p" + mPrograms) : Optional.empty());
        }

        private static void giveBackUnused(FleetModel.Host host, String organisation) {
            if (host.admit(organisation, Optional.empty())
                    instanceof OrganisationLimiter.Admission.Admitted permit) {
                host.giveBack(organisation, permit);
            }
        }
    }
}
