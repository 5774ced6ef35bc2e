package org.oleandertrack.coordination.commit;

/**
 * Location of a record in a batch object, an object that contains the records of one group commit.
 *
 * @param batch key of the batch object
 * @param offset index of the record's first byte in the object
 * @param length length of the record in bytes
 */
public record RecordLocation(String batch, int offset, int length) {}
