package org.oleandertrack.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against ids of one organisation that reach the state of another one. */
final class IdScopeTest {

    // The store's limit of 200 bytes, less what tables append to the key of an id.
    private static final int MAX_ID_BYTES = 180;

    private static IdScope scopeOf(String organisation) {
        return IdScope.of(
                new CallerIdentity.Member(
                        new Organisation(
                                organisation, Set.of(), OptionalInt.empty(), Optional.empty())));
    }

    @Test
    void withoutOrganisationsIdsAreUnchanged() {
        IdScope scope = IdScope.of(new CallerIdentity.Unchecked());
        assertEquals(IdScope.NONE, scope);
        assertEquals("id", scope.storedId("id"));
        assertEquals("id", scope.memoryId("id"));
    }

    /** Names and ids are chosen so that they would be equal if they were only joined. */
    @Test
    void idsOfDifferentOrganisationsDiffer() {
        List<IdScope> scopes =
                List.of(
                        scopeOf("a"),
                        scopeOf("a/b"),
                        scopeOf("ab"),
                        IdScope.of(new CallerIdentity.Anonymous()));
        Set<String> stored = new HashSet<>();
        Set<String> inMemory = new HashSet<>();
        List<String> ids = List.of("c", "b/c", "bc", "/b/c", "");
        for (IdScope scope : scopes) {
            ids.forEach(id -> stored.add(scope.storedId(id)));
            ids.forEach(id -> inMemory.add(scope.memoryId(id)));
        }
        assertEquals(scopes.size() * ids.size(), stored.size());
        assertEquals(scopes.size() * ids.size(), inMemory.size());
    }

    /** Guards against anonymous callers that choose the stored id of an organisation's turn. */
    @Test
    void anAnonymousCallerCannotChooseAStoredId() {
        String stored = scopeOf("a").storedId("turn");
        IdScope anonymous = IdScope.of(new CallerIdentity.Anonymous());
        assertNotEquals(stored, anonymous.storedId(stored));
        assertNotEquals(stored, anonymous.storedId("a\nturn"));
    }

    @Test
    void longNamesAndIdsFitIntoAKeyOfTheStore() {
        String stored = scopeOf("n".repeat(5_000)).storedId("i".repeat(5_000));
        assertTrue(stored.length() <= MAX_ID_BYTES, stored);
        assertTrue(stored.chars().allMatch(character -> character > ' ' && character < 127));
    }
}
