package org.oleandertrack.core.organisation;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a request is accepted with the key that it carries. Where the settings bound the
 * time until a revoked key has no effect anywhere, a key counts only while the knowledge of the
 * configuration is younger than the bound. Immutable.
 */
public final class KeyAdmission {

    // Without answers of the store, peers are asked every 250 ms and respond within several
    // milliseconds.
    private static final long PEER_ANSWER_MILLIS = 300;
    // An answer that is due may be several milliseconds late.
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private final Optional<RevocationBound> mBound;

    /**
     * Creates the decision.
     *
     * @param bound time after which a revoked key must have no effect; empty if the settings do not
     *     bound it
     */
    public KeyAdmission(Optional<RevocationBound> bound) {
        mBound = bound;
    }

    /** Result of a decision. */
    public sealed interface Decision {

        /** The request is accepted, unless the limit of its organisation is reached. */
        record Accepted(CallerIdentity identity) implements Decision {}

        /** The request needs a valid key. */
        record KeyRequired(String reason) implements Decision {}

        /** The knowledge of the configuration is too old for a decision. */
        record NotCurrent() implements Decision {}
    }

    /** Returns whether keys count only while the knowledge of the configuration is young enough. */
    public boolean isBounded() {
        return mBound.isPresent();
    }

    /** Returns whether keys count with knowledge of the given age; empty if there is none. */
    public boolean isCurrent(OptionalLong ageMillis) {
        return mBound.isEmpty()
                || (ageMillis.isPresent() && ageMillis.getAsLong() < mBound.get().maxAgeMillis());
    }

    /**
     * Decides about a request.
     *
     * @param directory the organisations of the configuration in force
     * @param anonymousRoute whether the route is open to everybody
     * @param key digest of the key that the request carries
     * @param ageMillis age of the knowledge, measured before the directory was looked up
     */
    public Decision decide(
            OrganisationDirectory directory,
            boolean anonymousRoute,
            Optional<KeyDigest> key,
            OptionalLong ageMillis) {
        if (!directory.isKeyRequired()) {
            return new Decision.Accepted(new CallerIdentity.Unchecked());
        }
        boolean current = isCurrent(ageMillis);
        Optional<Organisation> organisation = key.flatMap(directory::authenticate);
        if (anonymousRoute) {
            // A key that may have been revoked gives no access to the state of its organisation.
            return new Decision.Accepted(
                    organisation
                            .filter(known -> current)
                            .<CallerIdentity>map(CallerIdentity.Member::new)
                            .orElseGet(CallerIdentity.Anonymous::new));
        }
        if (key.isEmpty()) {
            return new Decision.KeyRequired("the request carries no access key");
        }
        // A key that is not known may be new, and the caller does not retry after a 401.
        if (!current) {
            return new Decision.NotCurrent();
        }
        return organisation
                .<Decision>map(known -> new Decision.Accepted(new CallerIdentity.Member(known)))
                .orElseGet(() -> new Decision.KeyRequired("the access key is not known"));
    }

    /**
     * Returns the time until the next confirmation is expected, in milliseconds.
     *
     * @param millisSinceAnswer time since the store last answered, in milliseconds
     */
    public long retryAfterMillis(OptionalLong millisSinceAnswer) {
        long untilAnswerMillis =
                mBound.map(RevocationBound::answerIntervalMillis).orElse(0L)
                        - millisSinceAnswer.orElse(Long.MAX_VALUE);
        return untilAnswerMillis > 0
                ? Math.max(MIN_RETRY_AFTER_MILLIS, untilAnswerMillis)
                : PEER_ANSWER_MILLIS;
    }
}
