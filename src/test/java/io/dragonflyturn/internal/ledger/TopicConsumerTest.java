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
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TopicConsumerTest {
  private final ScheduledThreadPoolExecutor eventLoop = new ScheduledThreadPoolExecutor(1);
  private final AtomicLong nowMillis = new AtomicLong(50_000);
  private final InstantSource monotonicClock = () -> Instant.ofEpochMilli(nowMillis.get());
  private TopicConsumer consumer;

  @BeforeEach
  void startOnEmptyTopic() throws Exception {
    EventLog events =
        new EventLog(new PrintStream(OutputStream.nullOutputStream()), monotonicClock, "test");
    consumer =
        new TopicConsumer(
            new EmptyTopicStore(),
            "topic",
            new IgnoringListener(),
            eventLoop,
            Duration.ofSeconds(1),
            () -> Duration.ZERO,
            monotonicClock,
            events);
    eventLoop.submit(consumer::start).get(5, TimeUnit.SECONDS);
    while (!consumer.isLoaded()) {
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

  /** Reports an empty topic, and leaves every read pending. */
  private static final class EmptyTopicStore implements RecordStore {
    @Override
    public CompletableFuture<AppendOutcome> append(
        String topic, AppendId appendId, OptionalLong end, List<KeyedRecord> records) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long fromOffset, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Page> readLatest(String topic, String afterKey) {
      return CompletableFuture.completedFuture(new Page(List.of(), false, 0));
    }
  }

  private static final class IgnoringListener implements TopicListener {
    @Override
    public void reset(Map<String, byte[]> latestValues) {}

    @Override
    public void apply(KeyedRecord change) {}

    @Override
    public void advancedTo(long nextOffset) {}
  }
}
