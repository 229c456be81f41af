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
 * Keeps a listener up to date with a topic: the newest value of each key, then every change.
 *
 * <p>Runs on the event loop that it is given; its methods are called there.
 */
public final class TopicConsumer implements StoreStatus {
  /** An answer that is later than this tells of a process that stood still, in milliseconds. */
  private static final long ANSWER_MARGIN_MILLIS = 1_000;

  private static final long SHORTEST_RETRY_MILLIS = 100;
  private static final long LONGEST_RETRY_MILLIS = 400;

  private final RecordStore store;
  private final String topic;
  private final TopicListener listener;
  private final ScheduledExecutorService loop;
  private final Duration wait;
  private final Supplier<Duration> pause;
  private final InstantSource steady;
  private final EventLog events;
  private long next;
  private long retryMillis = SHORTEST_RETRY_MILLIS;
  private volatile long lastContactMillis;
  private volatile boolean reachable;
  private volatile boolean loaded;
  private int generation;

  /**
   * Creates a follower that does nothing until it is started.
   *
   * @param wait how long a read waits for a record; a store that is silent longer counts as lost
   * @param pause how long to let records gather between two reads
   */
  public TopicConsumer(
      RecordStore store,
      String topic,
      TopicListener listener,
      ScheduledExecutorService loop,
      Duration wait,
      Supplier<Duration> pause,
      InstantSource steady,
      EventLog events) {
    this.store = store;
    this.topic = topic;
    this.listener = listener;
    this.loop = loop;
    this.wait = wait;
    this.pause = pause;
    this.steady = steady;
    this.events = events;
    this.lastContactMillis = steady.millis();
  }

  /** Starts from the newest values. */
  public void start() {
    generation++;
    list(generation, "", new HashMap<>(), -1);
  }

  /** Stops; answers that are still awaited are dropped. */
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
    return reachable && sinceContactMillis() <= wait.toMillis() + ANSWER_MARGIN_MILLIS;
  }

  private long sinceContactMillis() {
    return steady.millis() - lastContactMillis;
  }

  @Override
  public Duration unreachableDuration() {
    return isReachable() ? Duration.ZERO : Duration.ofMillis(sinceContactMillis());
  }

  private void list(int current, String after, Map<String, byte[]> gathered, long firstEnd) {
    store
        .readLatest(topic, after)
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "listAnswered",
                (page, failure) -> listAnswered(current, gathered, firstEnd, page, failure)),
            loop);
  }

  private void listAnswered(
      int current,
      Map<String, byte[]> gathered,
      long firstEnd,
      RecordStore.@Nullable Page page,
      @Nullable Throwable failure) {
    if (current != generation) {
      return;
    }
    if (page == null) {
      retry(failure, () -> list(current, "", new HashMap<>(), -1));
      return;
    }
    contact();
    page.records().forEach(each -> put(gathered, each));
    long start = firstEnd < 0 ? page.end() : firstEnd;
    if (page.hasMore() && !page.records().isEmpty()) {
      list(current, page.records().getLast().key(), gathered, start);
      return;
    }
    next = start;
    loaded = true;
    listener.reset(gathered);
    listener.advancedTo(next);
    read(current);
  }

  private static void put(Map<String, byte[]> gathered, KeyedRecord change) {
    if (change.value() == null) {
      gathered.remove(change.key());
    } else {
      gathered.put(change.key(), change.value());
    }
  }

  private void read(int current) {
    if (current != generation) {
      return;
    }
    store
        .read(topic, next, wait)
        .whenCompleteAsync(
            LoggedCallback.of(
                events, "readAnswered", (slice, failure) -> readAnswered(current, slice, failure)),
            loop);
  }

  private void readAnswered(
      int current, RecordStore.@Nullable Slice slice, @Nullable Throwable failure) {
    if (current != generation) {
      return;
    }
    if (slice == null) {
      retry(failure, () -> read(current));
      return;
    }
    contact();
    if (slice.trimmed()) {
      events.event("records-trimmed").with("topic", topic).with("offset", next).write();
      list(current, "", new HashMap<>(), -1);
      return;
    }
    for (KeyedRecord change : slice.records()) {
      listener.apply(change);
    }
    next += slice.records().size();
    listener.advancedTo(next);
    long pauseMillis = pause.get().toMillis();
    if (pauseMillis == 0 || slice.records().isEmpty()) {
      read(current);
    } else {
      loop.schedule(() -> read(current), pauseMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void contact() {
    if (!reachable) {
      events.event("store-reached").with("topic", topic).write();
    }
    reachable = true;
    retryMillis = SHORTEST_RETRY_MILLIS;
    lastContactMillis = steady.millis();
  }

  private void retry(@Nullable Throwable failure, Runnable attempt) {
    if (reachable) {
      lastContactMillis = steady.millis();
      events.event("store-lost").with("topic", topic).with("cause", failure).write();
    }
    reachable = false;
    loop.schedule(attempt, retryMillis, TimeUnit.MILLISECONDS);
    retryMillis = Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2);
  }
}
