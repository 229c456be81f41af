package io.dragonflyturn.internal.ledger;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** A store that never answers. Tests override the calls that matter to them. */
public class SilentRecordStore implements RecordStore {
  @Override
  public AppendLimits limits() {
    return new AppendLimits(1_000, 4_000);
  }

  @Override
  public CompletableFuture<AppendOutcome> append(
      String topic, AppendId appendId, OptionalLong end, List<KeyedRecord> records) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<Slice> read(String topic, long fromOffset, Duration wait) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<Page> readLatest(String topic, String afterKey) {
    return new CompletableFuture<>();
  }
}
