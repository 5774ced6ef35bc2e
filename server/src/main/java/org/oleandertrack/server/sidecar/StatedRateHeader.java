package org.oleandertrack.server.sidecar;

import java.net.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalDouble;
import org.tinylog.Logger;

/** Response header in which a target states how many requests a second it accepts. */
final class StatedRateHeader {

    static final String NAME = "Oleandertrack-Requests-Per-Second";

    private StatedRateHeader() {}

    /** Returns the stated rate; empty if there is none or it is malformed. */
    static OptionalDouble read(HttpHeaders headers) {
        Optional<String> text = headers.firstValue(NAME);
        if (text.isEmpty()) {
            return OptionalDouble.empty();
        }
        try {
            double requestsPerSecond = Double.parseDouble(text.get().trim());
            if (Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0) {
                return OptionalDouble.of(requestsPerSecond);
            }
        } catch (NumberFormatException e) {
            Logger.debug("{} is no number: {}", NAME, e.getMessage());
        }
        Logger.warn("the target states a rate that is not a number from 0 up: {}", text.get());
        return OptionalDouble.empty();
    }
}
