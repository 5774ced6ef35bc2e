package org.oleandertrack.coordination.commit;

import java.util.List;
import java.util.Optional;
import org.oleandertrack.coordination.store.WriteOutcome;

/**
 * Result of a submission.
 *
 * @param outcomes outcomes in the order of the writes
 * @param location location of the record, if the submission had one; it is valid only if the write
 *     that refers to it was applied
 */
public record CommitResult(List<WriteOutcome> outcomes, Optional<RecordLocation> location) {}
