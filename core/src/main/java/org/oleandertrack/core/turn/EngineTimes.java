package org.oleandertrack.core.turn;

/**
 * Processing times of a model engine on a host of slowness 1 (see {@link LoadEstimate}). In each
 * step an engine generates one token for every running request.
 *
 * @param stepMillis duration of a step with one request, in milliseconds
 * @param stepMillisPerRequest increase of the step duration for each further request, in
 *     milliseconds
 * @param prefillTokensPerMilli prefill speed in prompt tokens per millisecond
 * @param startDelayMillis time from the arrival of a request to its first step, in milliseconds
 */
public record EngineTimes(
        double stepMillis,
        double stepMillisPerRequest,
        double prefillTokensPerMilli,
        double startDelayMillis) {

    /**
     * Times of the engines that the first users run, as stated in those users' service
     * specification. {@link LearnedTimes} starts from them.
     */
    public static final EngineTimes DEFAULT = new EngineTimes(3.79, 0.0893, 56.6, 16);

    /** Returns the duration of a step with the given number of requests, in milliseconds. */
    public double stepMillis(double requests) {
        return stepMillis + stepMillisPerRequest * Math.max(0, requests - 1);
    }

    /** Returns the prefill time of the given number of prompt tokens, in milliseconds. */
    public double prefillMillis(int tokens) {
        return tokens / prefillTokensPerMilli;
    }

    /**
     * Returns the times of a slower or faster engine.
     *
     * @param stepFactor factor of the durations of steps
     * @param firstEventFactor factor of the durations of start and prefill
     */
    public EngineTimes scaled(double stepFactor, double firstEventFactor) {
        return new EngineTimes(
                stepMillis * stepFactor,
                stepMillisPerRequest * stepFactor,
                prefillTokensPerMilli / firstEventFactor,
                startDelayMillis * firstEventFactor);
    }
}
