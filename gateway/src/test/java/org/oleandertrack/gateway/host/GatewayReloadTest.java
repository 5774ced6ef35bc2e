package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against changed settings that are ignored, or logged as applied when they are not. */
final class GatewayReloadTest {

    private static final long LONG_GRACE_MILLIS = 60_000;
    private static final long SHORT_GRACE_MILLIS = 1_000;

    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void aChangedGracePeriodAppliesToTheNextStop() throws IOException {
        try (ScriptedTarget hanging =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with(LONG_GRACE_MILLIS, "tool", hanging);
                TestClient client = gateway.client()) {
            client.send("POST", "/patient/x", "r1", "", "order");
            gateway.host().reconfigure(settings(gateway, "zone", SHORT_GRACE_MILLIS));
            assertTrue(gateway.logs().contains("\"restartNeeded\":false"), gateway.logs());
            gateway.host().stop();
        }
    }

    @Test
    void aChangedSettingThatNeedsARestartIsLogged() {
        TestGateway gateway = new TestGateway(SHORT_GRACE_MILLIS);
        try (gateway) {
            gateway.host().reconfigure(settings(gateway, "other-zone", SHORT_GRACE_MILLIS));
            assertTrue(gateway.logs().contains("\"restartNeeded\":true"), gateway.logs());
            assertFalse(gateway.logs().contains("\"restartNeeded\":false"), gateway.logs());
        }
    }

    private static GatewaySettings settings(TestGateway gateway, String zone, long graceMillis) {
        GatewaySettings current = gateway.settings();
        return new GatewaySettings(
                current.nodeName(),
                zone,
                current.callerAddress(),
                current.readinessAddress(),
                current.peerAddress(),
                current.seedAddresses(),
                current.metricsAddress(),
                graceMillis,
                current.entryRenewalMillis(),
                current.maxLogLinesPerSecond(),
                current.responseMemoryBytes(),
                current.hedgePercent(),
                current.revocationMillis(),
                current.storeLimits());
    }
}
