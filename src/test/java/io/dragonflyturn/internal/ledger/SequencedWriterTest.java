package io.dragonflyturn.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.logging.EventLog;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SequencedWriterTest {
  private static final KeyedRecord FIRST = new KeyedRecord("first", new byte[] {1});
  private static final KeyedRecord SECOND = new KeyedRecord("second", new byte[] {2});

  private final ScheduledThreadPoolExecutor eventLoop = new ScheduledThreadPoolExecutor(1);
  private final ScriptedStore store = new ScriptedStore();
  private final EventLog events =
      new EventLog(
          new PrintStream(OutputStream.nullOutputStream()), InstantSource.system(), "test");

  @AfterEach
  void stopEventLoop() {
    eventLoop.shutdownNow();
  }

  @Test
  void should_retry_an_unanswered_append_with_the_same_sequence() throws Exception {
    store.scriptOutcomes(new AppendOutcome.Unknown(), new AppendOutcome.Stored(0));

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.STORED);
    assertThat(store.sequences).containsExactly(7L, 7L);
  }

  @Test
  void should_refuse_a_record_that_the_store_rejected() throws Exception {
    store.scriptOutcomes(new AppendOutcome.Rejected());

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.REFUSED);
  }

  @Test
  void should_not_refuse_a_record_that_an_earlier_attempt_may_have_stored() throws Exception {
    store.scriptOutcomes(
        new AppendOutcome.Unknown(), new AppendOutcome.Rejected(), new AppendOutcome.Stored(0));

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.STORED);
  }

  @Test
  void should_refuse_unsent_records_while_an_outcome_stays_unknown() throws Exception {
    store.scriptOutcomes(
        new AppendOutcome.Unknown(), new AppendOutcome.Unknown(), new AppendOutcome.Unknown());
    SequencedWriter writer = writer(true);
    CompletableFuture<WriteResult> first = write(writer, FIRST);
    store.awaitAppends(1);
    CompletableFuture<WriteResult> second = write(writer, SECOND);

    assertThat(second.get(5, TimeUnit.SECONDS)).isEqualTo(WriteResult.REFUSED);
    assertThat(first).isNotDone();
  }

  @Test
  void should_retry_rejected_records_until_fenced_unless_it_fails_fast() throws Exception {
    store.scriptOutcomes(
        new AppendOutcome.Rejected(), new AppendOutcome.Rejected(), new AppendOutcome.Fenced());

    WriteResult result = write(writer(false), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.FENCED);
    assertThat(store.sequences).hasSize(3);
  }

  /** An append that was refused for good was repeated for ever, and all others waited for it. */
  @Test
  void should_find_the_record_of_a_batch_that_the_store_does_not_accept() throws Exception {
    store.notAccepted = "k3";
    SequencedWriter writer = writer(false);

    List<WriteResult> results = writeTogether(writer, recordsOfBytes(1, 1, 1, 1, 1, 1));

    assertThat(results)
        .containsExactly(
            WriteResult.STORED,
            WriteResult.STORED,
            WriteResult.STORED,
            WriteResult.INVALID,
            WriteResult.STORED,
            WriteResult.STORED);
    assertThat(store.storedKeys).containsExactly("k0", "k1", "k2", "k4", "k5");
    assertThat(eventLoop.submit(writer::isRetrying).get(5, TimeUnit.SECONDS)).isFalse();
  }

  @Test
  void should_not_call_a_record_invalid_that_an_earlier_attempt_may_have_stored() throws Exception {
    store.scriptOutcomes(new AppendOutcome.Unknown(), new AppendOutcome.Invalid());

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.FENCED);
  }

  @Test
  void should_not_send_a_record_that_is_longer_than_the_store_allows() throws Exception {
    store.acceptsAll = true;

    List<WriteResult> results = writeTogether(writer(false), recordsOfBytes(10, 1_000, 10));

    assertThat(results)
        .containsExactly(WriteResult.STORED, WriteResult.INVALID, WriteResult.STORED);
    assertThat(store.storedKeys).containsExactly("k0", "k2");
  }

  @Test
  void should_keep_each_append_within_the_limit_of_the_store() throws Exception {
    store.acceptsAll = true;

    List<WriteResult> results =
        writeTogether(writer(false), recordsOfBytes(900, 900, 900, 900, 900, 900));

    assertThat(results).hasSize(6).containsOnly(WriteResult.STORED);
    assertThat(store.appendSizes).allMatch(size -> size <= store.limits().callBytes());
  }

  private static KeyedRecord[] recordsOfBytes(int... valueBytes) {
    KeyedRecord[] records = new KeyedRecord[valueBytes.length];
    for (int index = 0; index < records.length; index++) {
      records[index] = new KeyedRecord("k" + index, new byte[valueBytes[index]]);
    }
    return records;
  }

  /** Writes records in one action of the event loop, so that they are sent together. */
  private List<WriteResult> writeTogether(SequencedWriter writer, KeyedRecord... records)
      throws Exception {
    List<CompletableFuture<WriteResult>> pending =
        eventLoop
            .submit(() -> Stream.of(records).map(writer::write).toList())
            .get(5, TimeUnit.SECONDS);
    List<WriteResult> results = new ArrayList<>();
    for (CompletableFuture<WriteResult> each : pending) {
      results.add(each.get(5, TimeUnit.SECONDS));
    }
    return results;
  }

  private SequencedWriter writer(boolean failFast) {
    return new SequencedWriter(store, "topic", "writer", 1, 7, failFast, eventLoop, events);
  }

  private CompletableFuture<WriteResult> write(SequencedWriter writer, KeyedRecord change)
      throws Exception {
    return eventLoop.submit(() -> writer.write(change)).get(5, TimeUnit.SECONDS);
  }

  /**
   * Completes appends with the scripted outcomes, and leaves all further appends unanswered, unless
   * the test says which records are accepted.
   */
  private static final class ScriptedStore extends SilentRecordStore {
    private final Deque<AppendOutcome> outcomes = new ArrayDeque<>();
    private final List<Long> sequences = new ArrayList<>();
    private final List<String> storedKeys = new ArrayList<>();
    private final List<Integer> appendSizes = new ArrayList<>();
    private boolean acceptsAll;
    private @Nullable String notAccepted;

    void scriptOutcomes(AppendOutcome... next) {
      outcomes.addAll(List.of(next));
    }

    synchronized void awaitAppends(int count) throws InterruptedException {
      while (sequences.size() < count) {
        wait();
      }
    }

    @Override
    public synchronized CompletableFuture<AppendOutcome> append(
        String topic, AppendId appendId, OptionalLong end, List<KeyedRecord> records) {
      sequences.add(appendId.sequence());
      notifyAll();
      if (acceptsAll || notAccepted != null) {
        return CompletableFuture.completedFuture(appendAccepted(records));
      }
      AppendOutcome next = outcomes.poll();
      return next == null ? new CompletableFuture<>() : CompletableFuture.completedFuture(next);
    }

    private AppendOutcome appendAccepted(List<KeyedRecord> records) {
      if (records.stream().anyMatch(each -> each.key().equals(notAccepted))) {
        return new AppendOutcome.Invalid();
      }
      records.forEach(each -> storedKeys.add(each.key()));
      appendSizes.add(records.stream().mapToInt(limits()::sizeInAppend).sum());
      return new AppendOutcome.Stored(0);
    }
  }
}
