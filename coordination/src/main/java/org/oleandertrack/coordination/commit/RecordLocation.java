package org.oleandertrack.coordination.commit;

/**
 * Where a history record is stored.
 *
 * @param batch key of the batch object
 * @param offset first byte of the record in the object
 * @param length bytes of the record
 */
public record RecordLocation(String batch, int offset, int length) {}
