package io.dragonflyturn.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.logging.EventLog;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SequencedWriterTest {
  private static final KeyedRecord FIRST = new KeyedRecord("first", new byte[] {1});
  private static final KeyedRecord SECOND = new KeyedRecord("second", new byte[] {2});

  private final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1);
  private final ScriptedStore store = new ScriptedStore();
  private final EventLog events =
      new EventLog(
          new PrintStream(OutputStream.nullOutputStream()), InstantSource.system(), "test");

  @AfterEach
  void stopLoop() {
    loop.shutdownNow();
  }

  @Test
  void should_repeat_an_append_without_an_answer_under_the_same_sequence() throws Exception {
    store.answer(new AppendOutcome.Unknown(), new AppendOutcome.Stored(0));

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.STORED);
    assertThat(store.sequences).containsExactly(7L, 7L);
  }

  @Test
  void should_refuse_a_record_that_the_store_rejected() throws Exception {
    store.answer(new AppendOutcome.Rejected());

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.REFUSED);
  }

  @Test
  void should_not_refuse_a_record_that_may_have_been_stored_by_an_earlier_try() throws Exception {
    store.answer(
        new AppendOutcome.Unknown(), new AppendOutcome.Rejected(), new AppendOutcome.Stored(0));

    WriteResult result = write(writer(true), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.STORED);
  }

  @Test
  void should_refuse_what_was_never_sent_while_an_outcome_stays_unknown() throws Exception {
    store.answer(
        new AppendOutcome.Unknown(), new AppendOutcome.Unknown(), new AppendOutcome.Unknown());
    SequencedWriter writer = writer(true);
    CompletableFuture<WriteResult> first = write(writer, FIRST);
    store.awaitAppends(1);
    CompletableFuture<WriteResult> second = write(writer, SECOND);

    assertThat(second.get(5, TimeUnit.SECONDS)).isEqualTo(WriteResult.REFUSED);
    assertThat(first).isNotDone();
  }

  @Test
  void should_give_up_nothing_that_must_be_written_until_it_is_fenced() throws Exception {
    store.answer(
        new AppendOutcome.Rejected(), new AppendOutcome.Rejected(), new AppendOutcome.Fenced());

    WriteResult result = write(writer(false), FIRST).get(5, TimeUnit.SECONDS);

    assertThat(result).isEqualTo(WriteResult.FENCED);
    assertThat(store.sequences).hasSize(3);
  }

  private SequencedWriter writer(boolean refusable) {
    return new SequencedWriter(store, "topic", "writer", 1, 7, refusable, loop, events);
  }

  private CompletableFuture<WriteResult> write(SequencedWriter writer, KeyedRecord change)
      throws Exception {
    return loop.submit(() -> writer.write(change)).get(5, TimeUnit.SECONDS);
  }

  /** Answers appends as a test says, then no more. */
  private static final class ScriptedStore implements RecordStore {
    private final Deque<AppendOutcome> outcomes = new ArrayDeque<>();
    private final List<Long> sequences = new ArrayList<>();

    void answer(AppendOutcome... next) {
      outcomes.addAll(List.of(next));
    }

    synchronized void awaitAppends(int count) throws InterruptedException {
      while (sequences.size() < count) {
        wait();
      }
    }

    @Override
    public synchronized CompletableFuture<AppendOutcome> append(
        String topic, AppendId position, OptionalLong end, List<KeyedRecord> records) {
      sequences.add(position.sequence());
      notifyAll();
      AppendOutcome next = outcomes.poll();
      return next == null ? new CompletableFuture<>() : CompletableFuture.completedFuture(next);
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long from, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Page> readLatest(String topic, String afterKey) {
      return new CompletableFuture<>();
    }
  }
}
