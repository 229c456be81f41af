package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.AppendId;
import io.dragonflyturn.internal.ledger.AppendLimits;
import io.dragonflyturn.internal.ledger.AppendOutcome;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * An in-memory store with writer epochs, sequence numbers and conditional appends, which can
 * simulate outages and lost answers.
 */
final class FakeRecordStore implements RecordStore {
  private static final long CALM_ANSWER_DELAY_MILLIS = 4;
  private static final int CALL_BYTES = 2_097_152;

  private final ManualLoop loop;
  private final Map<String, List<KeyedRecord>> topics = new HashMap<>();
  private final Map<String, AppendId> lastAppends = new HashMap<>();
  private final Map<AppendId, AppendOutcome> outcomes = new HashMap<>();
  private final List<Runnable> waitingReads = new ArrayList<>();
  private boolean down;
  private int answersToLose;
  private long answerDelayMillis = CALM_ANSWER_DELAY_MILLIS;
  private AppendLimits limits = new AppendLimits(262_144, CALL_BYTES);
  private AppendLimits acceptedLimits = limits;

  FakeRecordStore(ManualLoop loop) {
    this.loop = loop;
  }

  void setDown(boolean newDown) {
    down = newDown;
  }

  /** Sets how long a record may be. */
  void setRecordBytes(int bytes) {
    limits = new AppendLimits(bytes, CALL_BYTES);
    acceptedLimits = limits;
  }

  /** Sets how long a record may be, other than the limit that the store names. */
  void setAcceptedRecordBytes(int bytes) {
    acceptedLimits = new AppendLimits(bytes, CALL_BYTES);
  }

  /** Delays every answer by the given time. */
  void setAnswerDelayMillis(long millis) {
    answerDelayMillis = millis;
  }

  /** Executes the given number of appends without answering them. */
  void loseAnswers(int appends) {
    answersToLose = appends;
  }

  @Override
  public AppendLimits limits() {
    return limits;
  }

  List<KeyedRecord> records(String topic) {
    return topics.computeIfAbsent(topic, name -> new ArrayList<>());
  }

  @Override
  public CompletableFuture<AppendOutcome> append(
      String topic, AppendId appendId, OptionalLong expectedEnd, List<KeyedRecord> records) {
    CompletableFuture<AppendOutcome> answer = new CompletableFuture<>();
    loop.schedule(
        () -> {
          AppendOutcome outcome =
              down ? new AppendOutcome.Rejected() : apply(topic, appendId, expectedEnd, records);
          if (answersToLose > 0 && !down) {
            answersToLose--;
            outcome = new AppendOutcome.Unknown();
          }
          answer.complete(outcome);
          List<Runnable> reads = List.copyOf(waitingReads);
          waitingReads.clear();
          reads.forEach(Runnable::run);
        },
        answerDelayMillis,
        TimeUnit.MILLISECONDS);
    return answer;
  }

  private AppendOutcome apply(
      String topic, AppendId appendId, OptionalLong expectedEnd, List<KeyedRecord> records) {
    List<KeyedRecord> log = records(topic);
    AppendOutcome earlier = outcomes.get(appendId);
    if (earlier != null) {
      return earlier;
    }
    if (!records.stream().allMatch(acceptedLimits::accepts)) {
      return new AppendOutcome.Invalid();
    }
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != log.size()) {
      return new AppendOutcome.EndOffsetMismatch(log.size());
    }
    String writer = topic + '/' + appendId.writer();
    AppendId last = lastAppends.get(writer);
    if (last != null && appendId.epoch() < last.epoch()) {
      return new AppendOutcome.Fenced();
    }
    boolean follows =
        last == null
            || appendId.epoch() > last.epoch()
            || appendId.sequence() == last.sequence() + 1;
    if (last != null && !follows) {
      return new AppendOutcome.OutOfSequence(last.sequence() + 1);
    }
    lastAppends.put(writer, appendId);
    AppendOutcome stored = new AppendOutcome.Stored(log.size());
    outcomes.put(appendId, stored);
    log.addAll(records);
    return stored;
  }

  @Override
  public CompletableFuture<Slice> read(String topic, long fromOffset, Duration maxWait) {
    CompletableFuture<Slice> answer = new CompletableFuture<>();
    loop.schedule(
        () -> tryRead(topic, fromOffset, answer), answerDelayMillis, TimeUnit.MILLISECONDS);
    loop.schedule(
        () -> answer.complete(new Slice(false, List.of(), records(topic).size())),
        maxWait.toMillis(),
        TimeUnit.MILLISECONDS);
    return answer;
  }

  private void tryRead(String topic, long fromOffset, CompletableFuture<Slice> answer) {
    if (answer.isDone()) {
      return;
    }
    List<KeyedRecord> log = records(topic);
    if (down) {
      answer.completeExceptionally(new IllegalStateException("the store is down"));
    } else if (fromOffset < log.size()) {
      List<KeyedRecord> records = List.copyOf(log.subList((int) fromOffset, log.size()));
      answer.complete(new Slice(false, records, log.size()));
    } else {
      waitingReads.add(() -> tryRead(topic, fromOffset, answer));
    }
  }

  @Override
  public CompletableFuture<Page> readLatest(String topic, String afterKey) {
    CompletableFuture<Page> answer = new CompletableFuture<>();
    loop.schedule(
        () -> {
          if (down) {
            answer.completeExceptionally(new IllegalStateException("the store is down"));
          } else {
            answer.complete(page(topic));
          }
        },
        answerDelayMillis,
        TimeUnit.MILLISECONDS);
    return answer;
  }

  private Page page(String topic) {
    Map<String, KeyedRecord> latestRecords = new LinkedHashMap<>();
    for (KeyedRecord change : records(topic)) {
      latestRecords.remove(change.key());
      if (change.value() != null) {
        latestRecords.put(change.key(), change);
      }
    }
    return new Page(List.copyOf(latestRecords.values()), false, records(topic).size());
  }
}
