package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against reservations that exceed the capacity or are never given back. */
final class ResponseMemoryTest {

    private static final int CAPACITY_BYTES = 100_000;

    private final ResponseMemory mMemory = new ResponseMemory(CAPACITY_BYTES);

    @Test
    void smallResponsesNeedNoRoom() {
        assertTrue(mMemory.share().resize(110_000));
        assertTrue(mMemory.share().resize(16_000));
        assertFalse(mMemory.share().resize(30_000));
    }

    @Test
    void aShareThatIsRefusedKeepsWhatItHad() {
        ResponseMemory.Share share = mMemory.share();
        assertTrue(share.resize(60_000));
        long before = mMemory.reservedBytes();
        assertFalse(share.resize(CAPACITY_BYTES + 20_000));
        assertEquals(before, mMemory.reservedBytes());
    }

    @Test
    void whatIsReleasedCanBeReservedAgain() {
        for (int i = 0; i < 10; i++) {
            ResponseMemory.Share share = mMemory.share();
            assertTrue(share.resize(90_000));
            assertTrue(share.resize(50_000));
            share.release();
            share.release();
            assertEquals(0, mMemory.reservedBytes());
        }
    }
}
