package org.oleandertrack.gateway.peer;

import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.StoredRow;

/** A configuration whose row has its version as the value. */
final class FakePeerConfiguration implements PeerConfiguration {

    volatile OptionalLong mVersion = OptionalLong.empty();

    static StoredRow row(long version) {
        return new StoredRow(new RowId("config", "", "config"), Long.toString(version), version);
    }

    @Override
    public OptionalLong version() {
        return mVersion;
    }

    @Override
    public boolean isKeyRequired() {
        return true;
    }

    @Override
    public Optional<StoredRow> row() {
        return mVersion.isEmpty() ? Optional.empty() : Optional.of(row(mVersion.getAsLong()));
    }

    @Override
    public void onPeerRow(StoredRow row) {
        mVersion = OptionalLong.of(Long.parseLong(row.value()));
    }
}
