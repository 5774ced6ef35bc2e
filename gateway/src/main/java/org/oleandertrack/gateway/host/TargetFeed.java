package org.oleandertrack.gateway.host;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.discovery.TargetDirectory;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.telemetry.logging.EventLog;

/** Updates the directory of targets from the store's target table. */
final class TargetFeed implements TableListener {

    private final PlatformTables mTables;
    private final TargetDirectory mDirectory;
    private final LongSupplier mNanoClock;
    private final EventLog mLog;
    private final StoreOutageLog mOutageLog;
    private volatile boolean mComplete;

    TargetFeed(
            PlatformTables tables,
            TargetDirectory directory,
            LongSupplier nanoClock,
            EventLog log) {
        mTables = tables;
        mDirectory = directory;
        mNanoClock = nanoClock;
        mLog = log;
        mOutageLog = new StoreOutageLog(tables.targetTable(), log);
    }

    /** Returns whether the whole target table has been read at least once. */
    boolean isComplete() {
        return mComplete;
    }

    @Override
    public void onTableRead(List<StoredRow> rows) {
        List<TargetRecord> records =
                rows.stream().map(this::decode).flatMap(Optional::stream).toList();
        mDirectory.replaceAll(records, mNanoClock.getAsLong());
        mComplete = true;
        mLog.notice("targets read").number("targets", records.size()).write();
    }

    @Override
    public void onRowsChanged(List<RowChange> changes) {
        for (RowChange change : changes) {
            switch (change) {
                case RowChange.Written written ->
                        decode(written.row())
                                .ifPresentOrElse(
                                        mDirectory::put,
                                        () ->
                                                mDirectory.remove(
                                                        written.id().key(),
                                                        mNanoClock.getAsLong()));
                case RowChange.Removed removed ->
                        mDirectory.remove(removed.id().key(), mNanoClock.getAsLong());
            }
        }
    }

    @Override
    public void onStoreLost(String reason) {
        mDirectory.markStoreUnreachable();
        mOutageLog.logLost(reason);
    }

    @Override
    public void onStoreRegained(long outageMillis) {
        mDirectory.markStoreReachable(mNanoClock.getAsLong());
        mOutageLog.logRegained(outageMillis);
    }

    private Optional<TargetRecord> decode(StoredRow row) {
        Optional<TargetRecord> record;
        String reason = "not an entry of a target";
        try {
            record = mTables.readTarget(row);
        } catch (RuntimeException e) {
            // One entry must not end the reading of the others.
            record = Optional.empty();
            reason = e.toString();
        }
        if (record.isEmpty()) {
            mLog.info("target entry unreadable")
                    .text("key", row.id().key())
                    .text("reason", reason)
                    .write();
        }
        return record;
    }
}
