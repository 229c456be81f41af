package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Loads all run records from the runs topic, page by page; starts again from the first page after a
 * failure. The pages form a consistent snapshot, because the topic has been fenced against earlier
 * leaders before.
 */
final class RunLoader {
  private static final long RETRY_DELAY_MILLIS = 100;

  private final DispatchContext context;
  private final Consumer<LoadedRuns> onLoaded;
  private boolean closed;

  RunLoader(DispatchContext context, Consumer<LoadedRuns> onLoaded) {
    this.context = context;
    this.onLoaded = onLoaded;
  }

  void start() {
    loadAfter("", new LoadedRuns(new HashMap<>(), new HashSet<>()));
  }

  void close() {
    closed = true;
  }

  private void loadAfter(String afterKey, LoadedRuns loadedRuns) {
    if (closed) {
      return;
    }
    context
        .store()
        .readLatest(LedgerKeys.RUNS_TOPIC, afterKey)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(), "loaded", (page, failure) -> pageLoaded(loadedRuns, page)),
            context.eventLoop());
  }

  private void pageLoaded(LoadedRuns loadedRuns, RecordStore.@Nullable Page page) {
    if (closed) {
      return;
    }
    if (page == null) {
      context.eventLoop().schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    for (KeyedRecord stored : page.records()) {
      byte @Nullable [] value = stored.value();
      if (value != null && !stored.key().equals(LedgerKeys.LEADER)) {
        decode(loadedRuns, stored.key(), value);
      }
    }
    if (page.hasMore() && !page.records().isEmpty()) {
      loadAfter(page.records().getLast().key(), loadedRuns);
    } else {
      onLoaded.accept(loadedRuns);
    }
  }

  private void decode(LoadedRuns loadedRuns, String key, byte[] value) {
    try {
      loadedRuns.readable().put(key, WorkloadCodec.decodeRun(value));
    } catch (UncheckedIOException unreadable) {
      loadedRuns.unreadableKeys().add(key);
      context
          .events()
          .event("record-unreadable")
          .with("key", key)
          .with("cause", unreadable)
          .write();
    }
  }

  /**
   * The stored runs.
   *
   * @param readable the runs by unit key
   * @param unreadableKeys the keys of records that cannot be decoded; their runs may be active
   */
  record LoadedRuns(Map<String, RunRecord> readable, Set<String> unreadableKeys) {}
}
