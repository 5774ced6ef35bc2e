package org.oleandertrack.coordination.commit;

import java.util.List;
import java.util.Optional;
import org.oleandertrack.coordination.store.WriteOutcome;

/**
 * What became of a submission.
 *
 * @param outcomes outcomes in the order of the writes
 * @param location where the record is stored, if the submission had one; it counts only if the
 *     write that names it was applied
 */
public record CommitResult(List<WriteOutcome> outcomes, Optional<RecordLocation> location) {}
