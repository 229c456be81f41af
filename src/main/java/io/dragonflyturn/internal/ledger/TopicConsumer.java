package io.dragonflyturn.internal.ledger;

import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Reads a topic continuously and passes its records to a {@link TopicListener}: first the latest
 * value of each key, then every later record in log order. If the store has trimmed records that
 * were not read yet, the consumer starts again from the latest values.
 *
 * <p>{@link #start} and {@link #stop} must be called on the event loop passed to the constructor;
 * the listener is called there too. An exception of the listener is logged, and reading goes on
 * with the next record. The methods of {@link StoreStatus} may be called from any thread.
 */
public final class TopicConsumer implements StoreStatus {
  /**
   * How much later than the read's own wait a response may arrive. A longer gap means that this
   * process was paused, so its copy of the topic may be stale.
   */
  private static final long RESPONSE_MARGIN_MILLIS = 1_000;

  private static final long MIN_RETRY_DELAY_MILLIS = 100;
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  private final RecordStore store;
  private final String topic;
  private final TopicListener listener;
  private final ScheduledExecutorService eventLoop;
  private final Duration maxWait;
  private final Supplier<Duration> pollPause;
  private final InstantSource monotonicClock;
  private final EventLog events;
  private long nextOffset;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private volatile long lastContactMillis;

  /** When the last read that reached the end of the topic was sent. */
  private volatile long completeAsOfMillis = Long.MIN_VALUE / 2;

  private volatile boolean reachable;
  private volatile boolean loaded;

  /** Incremented by each start and stop, so that responses to earlier reads are ignored. */
  private int generation;

  /**
   * Creates a consumer that reads nothing until it is started.
   *
   * @param topic the topic to read
   * @param listener receives the records
   * @param eventLoop the event loop on which the consumer runs and calls the listener
   * @param maxWait how long the store holds a read open when there is no new record; without a
   *     response within this time and a margin, the store counts as unreachable
   * @param pollPause supplies the delay before the next read after one that returned records, which
   *     batches records on instances that need them less urgently
   * @param monotonicClock a clock that never goes back
   */
  public TopicConsumer(
      RecordStore store,
      String topic,
      TopicListener listener,
      ScheduledExecutorService eventLoop,
      Duration maxWait,
      Supplier<Duration> pollPause,
      InstantSource monotonicClock,
      EventLog events) {
    this.store = store;
    this.topic = topic;
    this.listener = listener;
    this.eventLoop = eventLoop;
    this.maxWait = maxWait;
    this.pollPause = pollPause;
    this.monotonicClock = monotonicClock;
    this.events = events;
    this.lastContactMillis = monotonicClock.millis();
  }

  /** Starts, or restarts, by reading the latest value of each key. */
  public void start() {
    generation++;
    readLatestPage(generation, "", new HashMap<>(), -1);
  }

  /** Stops reading; responses to reads in flight are ignored. */
  public void stop() {
    generation++;
    loaded = false;
  }

  @Override
  public boolean isLoaded() {
    return loaded;
  }

  @Override
  public boolean isReachable() {
    return reachable && millisSinceContact() <= maxWait.toMillis() + RESPONSE_MARGIN_MILLIS;
  }

  private long millisSinceContact() {
    return monotonicClock.millis() - lastContactMillis;
  }

  @Override
  public Duration unreachableDuration() {
    return isReachable() ? Duration.ZERO : Duration.ofMillis(millisSinceContact());
  }

  @Override
  public Duration age() {
    return Duration.ofMillis(monotonicClock.millis() - completeAsOfMillis);
  }

  private void readLatestPage(
      int expectedGeneration,
      String afterKey,
      Map<String, byte[]> latestValues,
      long firstEndOffset) {
    long sentMillis = monotonicClock.millis();
    store
        .readLatest(topic, afterKey)
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "listAnswered",
                (page, failure) ->
                    handlePage(
                        expectedGeneration,
                        sentMillis,
                        latestValues,
                        firstEndOffset,
                        page,
                        failure)),
            eventLoop);
  }

  private void handlePage(
      int expectedGeneration,
      long sentMillis,
      Map<String, byte[]> latestValues,
      long firstEndOffset,
      RecordStore.@Nullable Page page,
      @Nullable Throwable failure) {
    if (expectedGeneration != generation) {
      return;
    }
    if (page == null) {
      retry(failure, () -> readLatestPage(expectedGeneration, "", new HashMap<>(), -1));
      return;
    }
    recordContact(sentMillis);
    page.records().forEach(keyedRecord -> put(latestValues, keyedRecord));
    long startOffset = firstEndOffset < 0 ? page.end() : firstEndOffset;
    if (page.hasMore() && !page.records().isEmpty()) {
      readLatestPage(expectedGeneration, page.records().getLast().key(), latestValues, startOffset);
      return;
    }
    nextOffset = startOffset;
    loaded = true;
    notifyListener("reset", () -> listener.reset(latestValues));
    notifyListener("advanced", () -> listener.advancedTo(nextOffset));
    read(expectedGeneration);
  }

  /** Calls the listener; its exceptions are logged, so that one record cannot end the reading. */
  private void notifyListener(String callback, Runnable call) {
    LoggedCallback.of(events, topic + ' ' + callback, call).run();
  }

  private static void put(Map<String, byte[]> latestValues, KeyedRecord change) {
    if (change.value() == null) {
      latestValues.remove(change.key());
    } else {
      latestValues.put(change.key(), change.value());
    }
  }

  private void read(int expectedGeneration) {
    if (expectedGeneration != generation) {
      return;
    }
    long sentMillis = monotonicClock.millis();
    Duration wait = isReachable() ? maxWait : Duration.ZERO;
    store
        .read(topic, nextOffset, wait)
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "readAnswered",
                (slice, failure) -> handleSlice(expectedGeneration, sentMillis, slice, failure)),
            eventLoop);
  }

  private void handleSlice(
      int expectedGeneration,
      long sentMillis,
      RecordStore.@Nullable Slice slice,
      @Nullable Throwable failure) {
    if (expectedGeneration != generation) {
      return;
    }
    if (slice == null) {
      retry(failure, () -> read(expectedGeneration));
      return;
    }
    recordContact(sentMillis);
    if (slice.trimmed()) {
      events.event("records-trimmed").with("topic", topic).with("offset", nextOffset).write();
      readLatestPage(expectedGeneration, "", new HashMap<>(), -1);
      return;
    }
    for (KeyedRecord change : slice.records()) {
      notifyListener(change.key(), () -> listener.apply(change));
    }
    nextOffset += slice.records().size();
    if (nextOffset >= slice.end()) {
      completeAsOfMillis = sentMillis;
    }
    notifyListener("advanced", () -> listener.advancedTo(nextOffset));
    long pauseMillis = pollPause.get().toMillis();
    if (pauseMillis == 0 || slice.records().isEmpty()) {
      read(expectedGeneration);
    } else {
      eventLoop.schedule(() -> read(expectedGeneration), pauseMillis, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Records that the store has answered. The answer may have been delayed, for example because this
   * process was paused, so it only shows what the store held when the request was sent.
   */
  private void recordContact(long sentMillis) {
    if (!reachable) {
      events.event("store-reached").with("topic", topic).write();
    }
    reachable = true;
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    lastContactMillis = sentMillis;
  }

  private void retry(@Nullable Throwable failure, Runnable attempt) {
    if (reachable) {
      lastContactMillis = monotonicClock.millis();
      events.event("store-lost").with("topic", topic).with("cause", failure).write();
    }
    reachable = false;
    eventLoop.schedule(attempt, retryDelayMillis, TimeUnit.MILLISECONDS);
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
  }
}
