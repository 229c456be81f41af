package io.dragonflyturn.internal.ledger;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's store, which keeps append-only topics of keyed records. The futures of
 * failed reads complete exceptionally; a failed append is an {@link AppendOutcome}.
 */
public interface RecordStore {
  /** Returns the limits on the size of appends. */
  AppendLimits limits();

  /**
   * Appends records atomically: either all of them or none.
   *
   * @param appendId identifies the append, so that a retry is not stored twice
   * @param expectedEnd the end offset that the topic must have; empty to append unconditionally
   */
  CompletableFuture<AppendOutcome> append(
      String topic, AppendId appendId, OptionalLong expectedEnd, List<KeyedRecord> records);

  /**
   * Reads records in log order.
   *
   * @param fromOffset the offset of the first record to read
   * @param maxWait how long to wait for a record if the topic ends at {@code fromOffset}
   */
  CompletableFuture<Slice> read(String topic, long fromOffset, Duration maxWait);

  /**
   * Reads a page of the latest record of each key, in the order of the keys.
   *
   * @param afterKey the last key of the previous page; empty for the first page
   */
  CompletableFuture<Page> readLatest(String topic, String afterKey);

  /**
   * Consecutive records of a topic.
   *
   * @param trimmed whether the store no longer retains the records at the requested offset; {@code
   *     records} is then empty
   * @param records the records from the requested offset on
   * @param end the end offset of the topic when the records were read
   */
  record Slice(boolean trimmed, List<KeyedRecord> records, long end) {}

  /**
   * A page of latest records. Each page is read separately, so that several pages together are not
   * a consistent snapshot.
   *
   * @param records the records
   * @param hasMore whether there are further pages
   * @param end the end offset of the topic when the page was read
   */
  record Page(List<KeyedRecord> records, boolean hasMore, long end) {}
}
