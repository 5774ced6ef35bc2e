package org.oleandertrack.core.organisation.limit;

/**
 * How many of the known hosts an issuer reaches. Hosts that do not reach an issuer use their own
 * shares of the rate, and an issuer without contact to half of the hosts may not be the only one.
 * Immutable.
 *
 * @param asked number of hosts that were asked to respond, without this one
 * @param answered number of those that responded
 */
public record IssuerReach(int asked, int answered) {

    /** Reach of a host that has not asked any other one. */
    public static final IssuerReach UNKNOWN = new IssuerReach(0, 0);

    // The limit may be exceeded by 10%: 3% by the shares of hosts out of reach, the rest by what is
    // issued twice until the loss of contact is noticed.
    private static final double TOLERATED_SHARE = 0.03;

    /** Returns whether less than half of the hosts are in reach, counting this one. */
    public boolean isIsolated() {
        return asked > 0 && 2 * (answered + 1) <= asked + 1 && answered < asked;
    }

    /** Returns the part of the rate that is not used by hosts out of reach. */
    public double rateFactor() {
        double shareOutOfReach = (double) (asked - answered) / (asked + 1);
        return Math.min(1, 1 + TOLERATED_SHARE - shareOutOfReach);
    }
}
