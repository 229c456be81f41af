package io.dragonflyturn.internal.ledger;

import java.nio.charset.StandardCharsets;

/**
 * The limits that the store places on the size of appends.
 *
 * @param recordBytes the maximum size of a record with its key, in bytes
 * @param callBytes the maximum size of all records of an append together, in bytes
 */
public record AppendLimits(int recordBytes, int callBytes) {
  /** A key is stored with its length in one byte. */
  private static final int KEY_LENGTH_BYTES = 1;

  private static final int MAXIMUM_KEY_BYTES = 255;

  /** Each record is preceded by its length, which counts towards the size of the append. */
  private static final int RECORD_LENGTH_BYTES = 4;

  /** Returns whether the store accepts a record, by its size. */
  public boolean accepts(KeyedRecord candidate) {
    return accepts(candidate, 0);
  }

  /**
   * Returns whether the store accepts a record, also after it has grown.
   *
   * @param growthBytes how much the record may grow, in bytes
   */
  public boolean accepts(KeyedRecord candidate, int growthBytes) {
    long recordSize = (long) recordSize(candidate) + growthBytes;
    return keyBytes(candidate) <= MAXIMUM_KEY_BYTES
        && recordSize <= recordBytes
        && recordSize + RECORD_LENGTH_BYTES <= callBytes;
  }

  /** Returns how much a record adds to the size of an append, in bytes. */
  int sizeInAppend(KeyedRecord added) {
    return RECORD_LENGTH_BYTES + recordSize(added);
  }

  private static int recordSize(KeyedRecord sized) {
    byte[] value = sized.value();
    return KEY_LENGTH_BYTES + keyBytes(sized) + (value == null ? 0 : value.length);
  }

  private static int keyBytes(KeyedRecord sized) {
    return sized.key().getBytes(StandardCharsets.UTF_8).length;
  }
}
