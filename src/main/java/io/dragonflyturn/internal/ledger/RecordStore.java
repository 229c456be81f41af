package io.dragonflyturn.internal.ledger;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** The platform's store of records with keys. Reads that fail complete exceptionally. */
public interface RecordStore {
  /** Appends records all or nothing; with {@code expectedEnd}, only where the topic ends there. */
  CompletableFuture<AppendOutcome> append(
      String topic, AppendId position, OptionalLong expectedEnd, List<KeyedRecord> records);

  /** Reads from an offset, and waits for a record where there is none yet. */
  CompletableFuture<Slice> read(String topic, long from, Duration wait);

  /**
   * Returns a page of the newest record of each key after {@code afterKey}; empty for the first.
   */
  CompletableFuture<Page> readLatest(String topic, String afterKey);

  /**
   * Consecutive records.
   *
   * @param trimmed whether the records at the offset are no longer kept; the rest is then empty
   * @param records the records from the offset on
   */
  record Slice(boolean trimmed, List<KeyedRecord> records) {}

  /**
   * A page of newest records; pages are no snapshot.
   *
   * @param records the records
   * @param hasMore whether there are further pages
   * @param end where the topic ended when the page was read
   */
  record Page(List<KeyedRecord> records, boolean hasMore, long end) {}
}
