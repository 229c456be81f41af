package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.HashMap;
import java.util.Map;
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
  private final Consumer<Map<String, RunRecord>> onLoaded;
  private boolean closed;

  RunLoader(DispatchContext context, Consumer<Map<String, RunRecord>> onLoaded) {
    this.context = context;
    this.onLoaded = onLoaded;
  }

  void start() {
    loadAfter("", new HashMap<>());
  }

  void close() {
    closed = true;
  }

  private void loadAfter(String afterKey, Map<String, RunRecord> loadedRuns) {
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

  private void pageLoaded(Map<String, RunRecord> loadedRuns, RecordStore.@Nullable Page page) {
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
        loadedRuns.put(stored.key(), WorkloadCodec.decodeRun(value));
      }
    }
    if (page.hasMore() && !page.records().isEmpty()) {
      loadAfter(page.records().getLast().key(), loadedRuns);
    } else {
      onLoaded.accept(loadedRuns);
    }
  }
}
