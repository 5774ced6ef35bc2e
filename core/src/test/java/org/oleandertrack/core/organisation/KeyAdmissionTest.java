package org.oleandertrack.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that run without a valid key, and against false refusals. */
final class KeyAdmissionTest {

    private static final KeyDigest KEY = KeyDigest.ofKey("k");
    private static final Organisation ORGANISATION =
            new Organisation("o", Set.of(KEY), OptionalInt.empty(), Optional.empty());
    private static final OrganisationDirectory DIRECTORY =
            new OrganisationDirectory(true, List.of(ORGANISATION), List.of());
    private static final OptionalLong YOUNG = OptionalLong.of(4_899);
    private static final OptionalLong OLD = OptionalLong.of(4_900);

    private final KeyAdmission mBounded = new KeyAdmission(Optional.of(new RevocationBound(5_000)));
    private final KeyAdmission mUnbounded = new KeyAdmission(Optional.empty());

    private KeyAdmission.Decision decide(
            boolean anonymousRoute, Optional<String> key, OptionalLong ageMillis) {
        return mBounded.decide(DIRECTORY, anonymousRoute, key.map(KeyDigest::ofKey), ageMillis);
    }

    private static KeyAdmission.Decision accepted(CallerIdentity identity) {
        return new KeyAdmission.Decision.Accepted(identity);
    }

    @Test
    void aRequestNeedsAKnownKey() {
        assertEquals(
                accepted(new CallerIdentity.Member(ORGANISATION)),
                decide(false, Optional.of("k"), YOUNG));
        assertInstanceOf(
                KeyAdmission.Decision.KeyRequired.class,
                decide(false, Optional.of("other"), YOUNG));
        assertInstanceOf(
                KeyAdmission.Decision.KeyRequired.class, decide(false, Optional.empty(), YOUNG));
    }

    @Test
    void aKeyDoesNotCountWithOldKnowledge() {
        KeyAdmission.Decision notCurrent = new KeyAdmission.Decision.NotCurrent();
        assertEquals(notCurrent, decide(false, Optional.of("k"), OLD));
        assertEquals(notCurrent, decide(false, Optional.of("k"), OptionalLong.empty()));
    }

    /** Guards against a 401, which callers do not retry, for a key that is new. */
    @Test
    void anUnknownKeyIsNotRejectedWithOldKnowledge() {
        assertEquals(
                new KeyAdmission.Decision.NotCurrent(), decide(false, Optional.of("new"), OLD));
        assertInstanceOf(
                KeyAdmission.Decision.KeyRequired.class, decide(false, Optional.empty(), OLD));
    }

    @Test
    void anAnonymousRouteIsOpenAndAKeyIdentifiesItsCallerThere() {
        CallerIdentity anonymous = new CallerIdentity.Anonymous();
        assertEquals(accepted(anonymous), decide(true, Optional.empty(), OLD));
        assertEquals(accepted(anonymous), decide(true, Optional.of("other"), YOUNG));
        assertEquals(
                accepted(new CallerIdentity.Member(ORGANISATION)),
                decide(true, Optional.of("k"), YOUNG));
    }

    /** Guards against a revoked key that still reaches the state of its organisation. */
    @Test
    void aKeyIdentifiesNobodyOnAnAnonymousRouteWithOldKnowledge() {
        assertEquals(accepted(new CallerIdentity.Anonymous()), decide(true, Optional.of("k"), OLD));
    }

    @Test
    void withoutABoundTheAgeDoesNotMatter() {
        assertEquals(
                accepted(new CallerIdentity.Member(ORGANISATION)),
                mUnbounded.decide(DIRECTORY, false, Optional.of(KEY), OptionalLong.empty()));
        assertTrue(mUnbounded.isCurrent(OptionalLong.empty()));
        assertFalse(mBounded.isCurrent(OptionalLong.empty()));
    }

    @Test
    void withoutOrganisationsNobodyIsChecked() {
        assertEquals(
                accepted(new CallerIdentity.Unchecked()),
                mBounded.decide(OrganisationDirectory.EMPTY, false, Optional.empty(), OLD));
    }

    /** Guards against open routes where all organisations of a configuration are malformed. */
    @Test
    void aListWithoutUsableOrganisationsStillRequiresAKey() {
        OrganisationDirectory unusable = new OrganisationDirectory(true, List.of(), List.of("x"));
        assertInstanceOf(
                KeyAdmission.Decision.KeyRequired.class,
                mUnbounded.decide(unusable, false, Optional.of(KEY), YOUNG));
    }

    @Test
    void theTimeToRetryAfterFollowsFromTheNextAnswer() {
        assertEquals(1_100, mBounded.retryAfterMillis(OptionalLong.of(400)));
        assertEquals(50, mBounded.retryAfterMillis(OptionalLong.of(1_490)));
        assertEquals(300, mBounded.retryAfterMillis(OptionalLong.of(9_000)));
        assertEquals(300, mBounded.retryAfterMillis(OptionalLong.empty()));
    }

    /** Guards against a short bound with which a host refuses keys while the store is available. */
    @Test
    void theTimesFollowFromTheBound() {
        RevocationBound usual = new RevocationBound(5_000);
        assertEquals(1_500, usual.answerIntervalMillis());
        assertEquals(2_000, usual.maxSilenceMillis());
        assertEquals(4_900, usual.maxAgeMillis());
        for (long millis : List.of(1_000L, 3_000L, 5_000L, 60_000L)) {
            RevocationBound bound = new RevocationBound(millis);
            assertTrue(2 * bound.answerIntervalMillis() < bound.maxUsualAgeMillis());
            assertTrue(bound.answerIntervalMillis() < bound.maxSilenceMillis());
            assertTrue(bound.maxUsualAgeMillis() < bound.maxAgeMillis());
        }
    }
}
