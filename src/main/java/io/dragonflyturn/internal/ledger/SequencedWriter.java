package io.dragonflyturn.internal.ledger;

import io.dragonflyturn.internal.ledger.AppendOutcome.EndOffsetMismatch;
import io.dragonflyturn.internal.ledger.AppendOutcome.Fenced;
import io.dragonflyturn.internal.ledger.AppendOutcome.OutOfSequence;
import io.dragonflyturn.internal.ledger.AppendOutcome.Rejected;
import io.dragonflyturn.internal.ledger.AppendOutcome.Stored;
import io.dragonflyturn.internal.ledger.AppendOutcome.Unknown;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Writes records to a topic in order, one append at a time; what arrives meanwhile goes into the
 * next append. An append without an answer is repeated under its sequence until its outcome is
 * known.
 *
 * <p>Runs on the event loop that it is given.
 */
public final class SequencedWriter {
  private static final int MOST_RECORDS = 500;
  private static final int MOST_BYTES = 512 << 10;
  private static final long RETRY_MILLIS = 60;

  /** After so many tries without a known outcome, records that were never sent are given up. */
  private static final int TRIES_BEFORE_REFUSAL = 2;

  private final RecordStore store;
  private final String topic;
  private final String name;
  private final boolean refusable;
  private final ScheduledExecutorService loop;
  private final EventLog events;
  private final List<Entry> waiting = new ArrayList<>();
  private long epoch;
  private long sequence;
  private @Nullable List<Entry> inFlight;
  private boolean closed;
  private int unknownTries;

  /**
   * Creates a writer.
   *
   * @param refusable whether records that the store rejects are given up rather than repeated
   */
  public SequencedWriter(
      RecordStore store,
      String topic,
      String name,
      long epoch,
      long firstSequence,
      boolean refusable,
      ScheduledExecutorService loop,
      EventLog events) {
    this.store = store;
    this.topic = topic;
    this.name = name;
    this.epoch = epoch;
    this.sequence = firstSequence;
    this.refusable = refusable;
    this.loop = loop;
    this.events = events;
  }

  /** Writes a record after all earlier ones. */
  public CompletableFuture<WriteResult> write(KeyedRecord entry) {
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    if (closed) {
      result.complete(WriteResult.FENCED);
      return result;
    }
    if (refusable && unknownTries >= TRIES_BEFORE_REFUSAL) {
      result.complete(WriteResult.REFUSED);
      return result;
    }
    waiting.add(new Entry(entry, result));
    if (inFlight == null) {
      loop.execute(this::send);
    }
    return result;
  }

  /** Says whether an append has been without a known outcome for at least one try. */
  public boolean isRetrying() {
    return unknownTries > 0;
  }

  /** Says whether nothing is waiting or under way. */
  public boolean isIdle() {
    return waiting.isEmpty() && inFlight == null;
  }

  /** Stops writing; records that wait are reported as fenced. */
  public void close() {
    closed = true;
    waiting.forEach(each -> each.result.complete(WriteResult.FENCED));
    waiting.clear();
  }

  private void send() {
    if (closed || inFlight != null || waiting.isEmpty()) {
      return;
    }
    List<Entry> batch = takeBatch();
    inFlight = batch;
    append(batch);
  }

  private List<Entry> takeBatch() {
    List<Entry> batch = new ArrayList<>();
    int bytes = 0;
    while (!waiting.isEmpty() && batch.size() < MOST_RECORDS && bytes < MOST_BYTES) {
      Entry entry = waiting.removeFirst();
      byte @Nullable [] value = entry.keyed.value();
      bytes += value == null ? 0 : value.length;
      batch.add(entry);
    }
    return batch;
  }

  private void append(List<Entry> batch) {
    List<KeyedRecord> records = batch.stream().map(Entry::keyed).toList();
    AppendId position = new AppendId(name, epoch, sequence);
    store
        .append(topic, position, OptionalLong.empty(), records)
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "answered",
                (outcome, failure) -> answered(batch, outcome == null ? new Unknown() : outcome)),
            loop);
  }

  private void answered(List<Entry> batch, AppendOutcome outcome) {
    if (closed) {
      finish(batch, WriteResult.FENCED);
      return;
    }
    switch (outcome) {
      case Stored stored -> {
        sequence++;
        unknownTries = 0;
        finish(batch, WriteResult.STORED);
      }
      case Rejected rejected -> rejected(batch);
      case Unknown unknown -> retryLater(batch);
      case EndOffsetMismatch moved -> retryLater(batch);
      case OutOfSequence other -> outOfSequence(batch, other);
      case Fenced fenced -> {
        events.event("writer-fenced").with("topic", topic).with("epoch", epoch).write();
        finish(batch, WriteResult.FENCED);
        close();
      }
    }
  }

  private void rejected(List<Entry> batch) {
    if (refusable && unknownTries == 0) {
      finish(batch, WriteResult.REFUSED);
    } else {
      retryLater(batch);
    }
  }

  private void outOfSequence(List<Entry> batch, OutOfSequence other) {
    events
        .event("writer-out-of-sequence")
        .with("topic", topic)
        .with("sequence", sequence)
        .with("expected", other.expected())
        .write();
    if (!refusable) {
      finish(batch, WriteResult.FENCED);
      close();
      return;
    }
    epoch++;
    sequence = 0;
    append(batch);
  }

  private void retryLater(List<Entry> batch) {
    unknownTries++;
    refuseWaiting();
    loop.schedule(() -> append(batch), RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Gives up what was never sent, so that its callers can turn to another instance. */
  private void refuseWaiting() {
    if (refusable && unknownTries >= TRIES_BEFORE_REFUSAL) {
      List<Entry> refused = List.copyOf(waiting);
      waiting.clear();
      refused.forEach(each -> each.result.complete(WriteResult.REFUSED));
    }
  }

  private void finish(List<Entry> batch, WriteResult result) {
    inFlight = null;
    batch.forEach(each -> each.result.complete(result));
    send();
  }

  private record Entry(KeyedRecord keyed, CompletableFuture<WriteResult> result) {}
}
