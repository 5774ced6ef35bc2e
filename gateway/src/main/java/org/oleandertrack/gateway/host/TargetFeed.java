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

/** Keeps the directory of targets as the store lists them. */
final class TargetFeed implements TableListener {

    private final PlatformTables mTables;
    private final TargetDirectory mDirectory;
    private final LongSupplier mNanoClock;
    private final EventLog mLog;
    private final StoreConnection mConnection;
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
        mConnection = new StoreConnection(tables.targetTable(), log);
    }

    /** Returns whether the targets have been read at least once. */
    boolean isComplete() {
        return mComplete;
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        List<TargetRecord> records =
                rows.stream().map(this::read).flatMap(Optional::stream).toList();
        mDirectory.replaceAll(records, mNanoClock.getAsLong());
        mComplete = true;
        mLog.notice("targets read").number("targets", records.size()).write();
    }

    @Override
    public void changed(List<RowChange> changes) {
        for (RowChange change : changes) {
            switch (change) {
                case RowChange.Written written ->
                        read(written.row())
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
    public void lost(String reason) {
        mDirectory.storeLost();
        mConnection.lost(reason);
    }

    @Override
    public void regained(long outageMillis) {
        mDirectory.storeRegained(mNanoClock.getAsLong());
        mConnection.regained(outageMillis);
    }

    private Optional<TargetRecord> read(StoredRow row) {
        Optional<TargetRecord> record = mTables.readTarget(row);
        if (record.isEmpty()) {
            mLog.info("target entry unreadable").text("key", row.id().key()).write();
        }
        return record;
    }
}
