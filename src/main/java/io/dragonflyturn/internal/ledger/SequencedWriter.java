package io.dragonflyturn.internal.ledger;

import io.dragonflyturn.internal.ledger.AppendOutcome.EndOffsetMismatch;
import io.dragonflyturn.internal.ledger.AppendOutcome.Fenced;
import io.dragonflyturn.internal.ledger.AppendOutcome.Invalid;
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
 * Writes records to a topic in order, with at most one append in flight. Records that are written
 * while an append is in flight go into the next batch. An append whose response is lost is retried
 * with the same sequence number, so that the store can deduplicate it, until its outcome is known.
 *
 * <p>A record that the store does not accept is not sent, or is found by splitting the batch that
 * the store did not accept, so that it does not hold up the others.
 *
 * <p>Not thread-safe: all methods must be called on the event loop passed to the constructor.
 */
public final class SequencedWriter {
  private static final int MAX_BATCH_RECORDS = 500;
  private static final int MAX_BATCH_BYTES = 512 << 10;
  private static final long RETRY_DELAY_MILLIS = 60;

  /** A fail-fast writer refuses unsent records once this many attempts of an append have failed. */
  private static final int FAILED_ATTEMPTS_BEFORE_REFUSAL = 2;

  private final RecordStore store;
  private final String topic;
  private final String name;
  private final boolean failFast;
  private final ScheduledExecutorService eventLoop;
  private final EventLog events;
  private final List<PendingWrite> pending = new ArrayList<>();
  private long epoch;
  private long sequence;
  private @Nullable List<PendingWrite> inFlight;
  private boolean closed;
  private int failedAttempts;

  /**
   * Creates a writer.
   *
   * @param topic the topic to append to
   * @param name the writer name that identifies this writer to the store
   * @param epoch the first epoch to write with; it fences all lower epochs of the same name
   * @param firstSequence the sequence number of the first append
   * @param failFast whether to refuse records that the store rejects; otherwise they are retried
   *     until they are stored or the writer is fenced
   */
  public SequencedWriter(
      RecordStore store,
      String topic,
      String name,
      long epoch,
      long firstSequence,
      boolean failFast,
      ScheduledExecutorService eventLoop,
      EventLog events) {
    this.store = store;
    this.topic = topic;
    this.name = name;
    this.epoch = epoch;
    this.sequence = firstSequence;
    this.failFast = failFast;
    this.eventLoop = eventLoop;
    this.events = events;
  }

  /** Writes a record after all earlier ones. The returned future never completes exceptionally. */
  public CompletableFuture<WriteResult> write(KeyedRecord keyedRecord) {
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    if (closed) {
      result.complete(WriteResult.FENCED);
      return result;
    }
    if (failFast && failedAttempts >= FAILED_ATTEMPTS_BEFORE_REFUSAL) {
      result.complete(WriteResult.REFUSED);
      return result;
    }
    if (!store.limits().accepts(keyedRecord)) {
      logInvalid(keyedRecord, "too-long");
      result.complete(WriteResult.INVALID);
      return result;
    }
    pending.add(new PendingWrite(keyedRecord, result));
    if (inFlight == null) {
      eventLoop.execute(this::send);
    }
    return result;
  }

  /** Returns the limits of the store on the size of records. */
  public AppendLimits limits() {
    return store.limits();
  }

  /** Returns whether an attempt of the append in flight has failed, so that it is retried. */
  public boolean isRetrying() {
    return failedAttempts > 0;
  }

  /** Returns whether no record is queued or in flight. */
  public boolean isIdle() {
    return pending.isEmpty() && inFlight == null;
  }

  /** Stops writing and completes all queued records as {@link WriteResult#FENCED}. */
  public void close() {
    closed = true;
    pending.forEach(write -> write.result.complete(WriteResult.FENCED));
    pending.clear();
  }

  private void send() {
    if (closed || inFlight != null || pending.isEmpty()) {
      return;
    }
    List<PendingWrite> batch = nextBatch();
    inFlight = batch;
    append(batch);
  }

  private List<PendingWrite> nextBatch() {
    int maximumBytes = Math.min(MAX_BATCH_BYTES, store.limits().callBytes());
    List<PendingWrite> batch = new ArrayList<>();
    int bytes = 0;
    while (!pending.isEmpty() && batch.size() < MAX_BATCH_RECORDS) {
      bytes += store.limits().sizeInAppend(pending.getFirst().keyedRecord);
      if (bytes > maximumBytes && !batch.isEmpty()) {
        break;
      }
      batch.add(pending.removeFirst());
    }
    return batch;
  }

  private void append(List<PendingWrite> batch) {
    List<KeyedRecord> records = batch.stream().map(PendingWrite::keyedRecord).toList();
    AppendId appendId = new AppendId(name, epoch, sequence);
    store
        .append(topic, appendId, OptionalLong.empty(), records)
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "answered",
                (outcome, failure) ->
                    handleOutcome(batch, outcome == null ? new Unknown() : outcome)),
            eventLoop);
  }

  private void handleOutcome(List<PendingWrite> batch, AppendOutcome outcome) {
    if (closed) {
      finish(batch, WriteResult.FENCED);
      return;
    }
    switch (outcome) {
      case Stored stored -> {
        sequence++;
        failedAttempts = 0;
        finish(batch, WriteResult.STORED);
      }
      case Rejected rejected -> rejected(batch);
      case Invalid invalid -> invalid(batch);
      case Unknown unknown -> retryLater(batch);
      case EndOffsetMismatch moved -> retryLater(batch);
      case OutOfSequence mismatch -> outOfSequence(batch, mismatch);
      case Fenced fenced -> {
        events.event("writer-fenced").with("topic", topic).with("epoch", epoch).write();
        finish(batch, WriteResult.FENCED);
        close();
      }
    }
  }

  /** Refuses the batch only if no earlier attempt with an unknown outcome may have stored it. */
  private void rejected(List<PendingWrite> batch) {
    if (failFast && failedAttempts == 0) {
      finish(batch, WriteResult.REFUSED);
    } else {
      retryLater(batch);
    }
  }

  /**
   * Sends the first half of a batch that the store did not accept, and the others later; a record
   * that is left alone is the one that the store does not accept.
   */
  private void invalid(List<PendingWrite> batch) {
    if (batch.size() == 1) {
      logInvalid(batch.getFirst().keyedRecord, "not-accepted");
      boolean mayBeStored = failFast && failedAttempts > 0;
      failedAttempts = 0;
      finish(batch, mayBeStored ? WriteResult.FENCED : WriteResult.INVALID);
      return;
    }
    int half = batch.size() / 2;
    pending.addAll(0, batch.subList(half, batch.size()));
    List<PendingWrite> firstHalf = List.copyOf(batch.subList(0, half));
    inFlight = firstHalf;
    append(firstHalf);
  }

  private void logInvalid(KeyedRecord refused, String cause) {
    byte @Nullable [] value = refused.value();
    events
        .event("record-refused")
        .with("topic", topic)
        .with("key", refused.key())
        .with("bytes", value == null ? 0 : value.length)
        .with("cause", cause)
        .write();
  }

  private void outOfSequence(List<PendingWrite> batch, OutOfSequence mismatch) {
    events
        .event("writer-out-of-sequence")
        .with("topic", topic)
        .with("sequence", sequence)
        .with("expected", mismatch.expected())
        .write();
    if (!failFast) {
      finish(batch, WriteResult.FENCED);
      close();
      return;
    }
    epoch++;
    sequence = 0;
    append(batch);
  }

  private void retryLater(List<PendingWrite> batch) {
    failedAttempts++;
    refusePending();
    eventLoop.schedule(() -> append(batch), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Refuses the records that were never sent, so that their callers can try another instance. */
  private void refusePending() {
    if (failFast && failedAttempts >= FAILED_ATTEMPTS_BEFORE_REFUSAL) {
      List<PendingWrite> unsent = List.copyOf(pending);
      pending.clear();
      unsent.forEach(write -> write.result.complete(WriteResult.REFUSED));
    }
  }

  private void finish(List<PendingWrite> batch, WriteResult result) {
    inFlight = null;
    batch.forEach(write -> write.result.complete(result));
    send();
  }

  private record PendingWrite(KeyedRecord keyedRecord, CompletableFuture<WriteResult> result) {}
}
