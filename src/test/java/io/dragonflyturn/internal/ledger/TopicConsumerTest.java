package io.dragonflyturn.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.logging.EventLog;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TopicConsumerTest {
  private final ScheduledThreadPoolExecutor eventLoop = new ScheduledThreadPoolExecutor(1);
  private final AtomicLong nowMillis = new AtomicLong(50_000);
  private final InstantSource monotonicClock = () -> Instant.ofEpochMilli(nowMillis.get());
  private final PendingReadsStore store = new PendingReadsStore();
  private final RecordingListener listener = new RecordingListener();
  private TopicConsumer consumer;

  @BeforeEach
  void startOnEmptyTopic() throws Exception {
    EventLog events =
        new EventLog(new PrintStream(OutputStream.nullOutputStream()), monotonicClock, "test");
    consumer =
        new TopicConsumer(
            store,
            "topic",
            listener,
            eventLoop,
            Duration.ofSeconds(1),
            () -> Duration.ZERO,
            monotonicClock,
            events);
    eventLoop.submit(consumer::start).get(5, TimeUnit.SECONDS);
    while (!consumer.isLoaded() || store.reads.isEmpty()) {
      Thread.sleep(5);
    }
  }

  @AfterEach
  void stopEventLoop() {
    eventLoop.shutdownNow();
  }

  @Test
  void should_be_reachable_while_a_read_is_pending() {
    nowMillis.addAndGet(1_000);

    assertThat(consumer.isReachable()).isTrue();
    assertThat(consumer.unreachableDuration()).isZero();
  }

  @Test
  void should_be_unreachable_after_a_pause_of_the_process() {
    nowMillis.addAndGet(4_000);

    assertThat(consumer.isReachable()).isFalse();
    assertThat(consumer.unreachableDuration()).isEqualTo(Duration.ofSeconds(4));
  }

  @Test
  void should_stay_unreachable_when_an_answer_arrives_that_was_requested_before_a_pause()
      throws Exception {
    nowMillis.addAndGet(4_000);

    answerNextRead();

    assertThat(consumer.isReachable()).isFalse();
  }

  @Test
  void should_be_reachable_again_with_the_first_answer_that_was_requested_after_a_pause()
      throws Exception {
    nowMillis.addAndGet(4_000);
    answerNextRead();

    answerNextRead();

    assertThat(consumer.isReachable()).isTrue();
    assertThat(store.waits).startsWith(Duration.ofSeconds(1), Duration.ZERO);
  }

  @Test
  void should_be_as_old_as_its_last_answered_read() throws Exception {
    answerNextRead();
    nowMillis.addAndGet(700);

    assertThat(consumer.age()).isEqualTo(Duration.ofMillis(700));
  }

  @Test
  void should_not_become_newer_when_a_read_fails() throws Exception {
    answerNextRead();
    nowMillis.addAndGet(1_500);

    failNextRead();

    assertThat(consumer.unreachableDuration()).isZero();
    assertThat(consumer.age()).isEqualTo(Duration.ofMillis(1_500));
  }

  @Test
  void should_not_become_newer_with_an_answer_that_ends_before_the_topic() throws Exception {
    answerNextRead();
    nowMillis.addAndGet(900);
    answerNextRead();
    nowMillis.addAndGet(300);

    answerNextReadUpTo(5, "first", "second");

    assertThat(consumer.age()).isEqualTo(Duration.ofMillis(1_200));
  }

  @Test
  void should_read_on_after_a_record_that_the_listener_fails_on() throws Exception {
    answerNextRead("first", RecordingListener.POISON, "second");
    answerNextRead("third");

    assertThat(listener.appliedKeys).containsExactly("first", "second", "third");
  }

  /**
   * Answers the next pending read, and waits until the consumer has handled the answer. The answer
   * is given on the event loop, which ends its current task first, so the consumer has registered
   * for it by then.
   */
  private void answerNextRead(String... keys) throws Exception {
    answerNextReadUpTo(keys.length, keys);
  }

  /** Answers the next pending read of a topic that ends at the given offset. */
  private void answerNextReadUpTo(long end, String... keys) throws Exception {
    CompletableFuture<RecordStore.Slice> pending = store.takeNextRead();
    List<KeyedRecord> records =
        Stream.of(keys).map(key -> new KeyedRecord(key, new byte[] {1})).toList();
    eventLoop
        .submit(() -> pending.complete(new RecordStore.Slice(false, records, end)))
        .get(5, TimeUnit.SECONDS);
    eventLoop.submit(() -> {}).get(5, TimeUnit.SECONDS);
  }

  private void failNextRead() throws Exception {
    CompletableFuture<RecordStore.Slice> pending = store.takeNextRead();
    eventLoop
        .submit(() -> pending.completeExceptionally(new IllegalStateException("refused")))
        .get(5, TimeUnit.SECONDS);
    eventLoop.submit(() -> {}).get(5, TimeUnit.SECONDS);
  }

  /** Reports an empty topic, and leaves every read pending until the test answers it. */
  private static final class PendingReadsStore extends SilentRecordStore {
    private final BlockingQueue<CompletableFuture<Slice>> reads = new LinkedBlockingQueue<>();
    private final List<Duration> waits = new CopyOnWriteArrayList<>();

    CompletableFuture<Slice> takeNextRead() throws InterruptedException {
      CompletableFuture<Slice> pending = reads.poll(5, TimeUnit.SECONDS);
      assertThat(pending).as("a read is sent").isNotNull();
      return pending;
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long fromOffset, Duration wait) {
      CompletableFuture<Slice> pending = new CompletableFuture<>();
      waits.add(wait);
      reads.add(pending);
      return pending;
    }

    @Override
    public CompletableFuture<Page> readLatest(String topic, String afterKey) {
      return CompletableFuture.completedFuture(new Page(List.of(), false, 0));
    }
  }

  /** Records the keys of all records, and fails on one of them. */
  private static final class RecordingListener implements TopicListener {
    static final String POISON = "poison";

    private final List<String> appliedKeys = new CopyOnWriteArrayList<>();

    @Override
    public void reset(Map<String, byte[]> latestValues) {}

    @Override
    public void apply(KeyedRecord change) {
      if (change.key().equals(POISON)) {
        throw new IllegalArgumentException("an unexpected record");
      }
      appliedKeys.add(change.key());
    }

    @Override
    public void advancedTo(long nextOffset) {}
  }
}
