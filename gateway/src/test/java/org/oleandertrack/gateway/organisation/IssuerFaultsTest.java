package org.oleandertrack.gateway.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.gateway.call.OrganisationLimiter;

/** Guards against two issuers at a time, and against hosts that issue nothing after a fault. */
final class IssuerFaultsTest {

    private static final String NAME = "birch";
    private static final RequestLimit LIMIT = new RequestLimit(40, 0);

    private final FleetModel mFleet = new FleetModel(5, 1);
    private final FleetModel.Host mFirst;
    private final FleetModel.Host mSecond;

    IssuerFaultsTest() {
        mFleet.limit(NAME, LIMIT, 0);
        mFleet.step();
        List<String> issuers = mFleet.hosts().getFirst().issuersFor(NAME);
        mFirst = host(issuers.getFirst());
        mSecond = host(issuers.getLast());
        flood(5_000);
    }

    private FleetModel.Host host(String name) {
        return mFleet.hosts().stream()
                .filter(host -> host.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the number of requests sent while all hosts get more than the limit. */
    private int flood(long millis) {
        int sent = 0;
        for (long passed = 0; passed < millis; passed += FleetModel.STEP_MILLIS) {
            mFleet.step();
            for (FleetModel.Host host : mFleet.hosts()) {
                sent += host.isUp() && host.send(NAME, Optional.empty()) ? 1 : 0;
            }
        }
        return sent;
    }

    private static void assertBetween(double least, double most, int sent) {
        assertTrue(sent >= least && sent <= most, sent + " not in " + least + " to " + most);
    }

    @Test
    void theSecondHostReplacesOneThatWasKilledUntilItIsBack() {
        mFirst.kill();
        // One of five hosts is out of reach, so 0.83 of the rate is issued after the takeover.
        assertBetween(0.7 * 200, 200, flood(5_000));
        mFirst.start();
        assertBetween(0.8 * 200, 1.1 * 200, flood(5_000));
        assertEquals(mFirst.name(), issuer());
    }

    private String issuer() {
        mFleet.steps(1_000);
        return assertInstanceOf(
                        OrganisationLimiter.Admission.Admitted.class,
                        mFleet.hosts().getFirst().admit(NAME, Optional.empty()))
                .issuer();
    }

    /** Guards against a second host that issues beside the first one, which others reach. */
    @Test
    void theSecondHostReachesTheFirstThroughOthersIfOnlyTheirLinkIsCut() {
        mFleet.cut(mFirst, mSecond);
        assertBetween(0.8 * 200, 1.1 * 200, flood(5_000));
    }

    @Test
    void anIssuerThatIsCutOffUsesItsShareOnly() {
        mFleet.hosts().forEach(host -> mFleet.cut(mFirst, host));
        flood(1_000);
        int before = mFleet.sends(NAME).size();
        assertBetween(0.8 * 200, 1.1 * 200, flood(5_000));
        assertEquals(before + 500, mFleet.sends(NAME).size());
        mFleet.heal();
        flood(1_000);
        assertBetween(0.9 * 200, 1.1 * 200, flood(5_000));
    }

    @Test
    void hostsThatReachNoIssuerUseTheirShares() {
        mFirst.kill();
        mSecond.kill();
        flood(1_000);
        assertBetween(0.9 * 200 * 3 / 5, 1.1 * 200 * 3 / 5, flood(5_000));
    }

    /** Guards against a new host and the previous issuer that serve different hosts. */
    @Test
    void addedHostsDoNotAddToTheLimit() {
        for (int i = 0; i < 4; i++) {
            mFleet.addHost();
        }
        assertBetween(0.8 * 200, 1.1 * 200, flood(5_000));
        assertBetween(0.9 * 200, 1.1 * 200, flood(5_000));
    }

    /** Guards against limits of an old configuration that stay in force. */
    @Test
    void aLowerLimitIsInForceAtAllHostsAfterTwoSeconds() {
        mFleet.limit(NAME, new RequestLimit(4, 0), 2_000);
        flood(3_000);
        assertBetween(18, 22, flood(5_000));
    }
}
