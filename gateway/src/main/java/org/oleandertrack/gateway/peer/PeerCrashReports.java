package org.oleandertrack.gateway.peer;

import java.util.List;
import java.util.Set;
import org.oleandertrack.coordination.quarantine.QuarantinePeers;
import org.oleandertrack.telemetry.logging.EventLog;

/** Tells all responsive peers which targets a request crashed. Thread-safe. */
public final class PeerCrashReports implements QuarantinePeers {

    private final PeerDirectory mPeers;
    private final EventLog mLog;

    /** Creates an instance that reports to the peers of a directory. */
    public PeerCrashReports(PeerDirectory peers, EventLog log) {
        mPeers = peers;
        mLog = log;
    }

    @Override
    public void report(String requestKey, Set<String> targetIds) {
        PeerMessages.ReportCrashes message =
                new PeerMessages.ReportCrashes(requestKey, List.copyOf(targetIds));
        for (PeerClient peer : mPeers.responsivePeers()) {
            var _ =
                    peer.reportCrashes(message)
                            .exceptionally(failure -> logFailure(requestKey, failure));
        }
    }

    private boolean logFailure(String requestKey, Throwable failure) {
        mLog.info("crash report failed")
                .text("requestKey", requestKey)
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
        return false;
    }
}
