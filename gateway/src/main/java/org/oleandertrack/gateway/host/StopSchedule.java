package org.oleandertrack.gateway.host;

/**
 * When the phases of a graceful stop begin, in milliseconds after its start.
 *
 * @param refuseMillis from when on every new call is refused
 * @param endCallsMillis from when on the remaining calls are ended by the gateway itself
 * @param exitMillis when connections are closed whose last response is still being written
 */
record StopSchedule(long refuseMillis, long endCallsMillis, long exitMillis) {

    // The load balancer checks readiness once a second and sends no new connections after two
    // negative responses.
    private static final long LOAD_BALANCER_DELAY_MILLIS = 2_600;
    // Reserved at the end of the grace period to end the remaining calls and exit.
    private static final long END_RESERVE_MILLIS = 600;
    private static final long EXIT_RESERVE_MILLIS = 200;
    // With a short grace period, each reserve is at most this fraction of it.
    private static final long END_RESERVE_DIVISOR = 4;
    private static final long EXIT_RESERVE_DIVISOR = 10;

    static StopSchedule of(long graceMillis) {
        long endCallsMillis =
                graceMillis - Math.min(END_RESERVE_MILLIS, graceMillis / END_RESERVE_DIVISOR);
        return new StopSchedule(
                Math.min(LOAD_BALANCER_DELAY_MILLIS, endCallsMillis / 2),
                endCallsMillis,
                graceMillis - Math.min(EXIT_RESERVE_MILLIS, graceMillis / EXIT_RESERVE_DIVISOR));
    }
}
