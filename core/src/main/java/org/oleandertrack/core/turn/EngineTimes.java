package org.oleandertrack.core.turn;

/**
 * Times of a model engine on an unhurried host. An engine makes one token of each running request
 * in a step.
 *
 * @param stepMillis time of a step with one request
 * @param stepMillisPerRequest time that each further request adds to a step
 * @param promptTokensPerMilli speed of reading prompts
 * @param firstMillis time from the arrival of a request to its first step
 */
public record EngineTimes(
        double stepMillis,
        double stepMillisPerRequest,
        double promptTokensPerMilli,
        double firstMillis) {

    /** Figures of the engines that the users run, from their sheet of services. */
    public static final EngineTimes DEFAULT = new EngineTimes(3.79, 0.0893, 56.6, 16);

    /** Returns the time of a step with the given number of requests. */
    public double stepMillis(double requests) {
        return stepMillis + stepMillisPerRequest * Math.max(0, requests - 1);
    }

    /** Returns the time that reading the given number of prompt tokens takes. */
    public double promptMillis(int tokens) {
        return tokens / promptTokensPerMilli;
    }
}
