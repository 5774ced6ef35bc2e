package org.oleandertrack.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Mean response times of a service by route, as a geometric mean of the last responses. Holds a
 * bounded number of routes. Not thread-safe: the owner guards each instance with its own lock.
 */
final class RouteTimes {

    private static final int MAX_ROUTES = 64;
    // About the last 40 responses count.
    private static final double MIN_WEIGHT = 0.05;
    // Larger logarithmic differences from the mean count as this much.
    private static final double MAX_LOG_DIFFERENCE = 1;

    private final Map<String, Mean> mMeans =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /** Returns the mean response time of a route; empty if none was observed. */
    OptionalDouble meanMillis(String route) {
        Mean mean = mMeans.get(route);
        return mean == null ? OptionalDouble.empty() : OptionalDouble.of(Math.exp(mean.mLogMillis));
    }

    /** Records a response time, from which the factor of the target has been divided out. */
    void record(String route, double millis) {
        mMeans.computeIfAbsent(route, name -> new Mean()).record(Math.log(millis));
    }

    /** Mean of the logarithm of the response time of one route. */
    private static final class Mean {
        private double mLogMillis;
        private int mCount;

        private void record(double logMillis) {
            mCount++;
            double difference = logMillis - mLogMillis;
            double clipped =
                    mCount == 1
                            ? difference
                            : Math.clamp(difference, -MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
            mLogMillis += Math.max(MIN_WEIGHT, 1.0 / mCount) * clipped;
        }
    }
}
