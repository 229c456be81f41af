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
  private final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1);
  private final AtomicLong nowMillis = new AtomicLong(50_000);
  private final InstantSource steady = () -> Instant.ofEpochMilli(nowMillis.get());
  private TopicConsumer follower;

  @BeforeEach
  void startAtStoreThatAnswersOnce() throws Exception {
    EventLog events =
        new EventLog(new PrintStream(OutputStream.nullOutputStream()), steady, "test");
    follower =
        new TopicConsumer(
            new OneAnswerStore(),
            "topic",
            new Unheard(),
            loop,
            Duration.ofSeconds(1),
            () -> Duration.ZERO,
            steady,
            events);
    loop.submit(follower::start).get(5, TimeUnit.SECONDS);
    while (!follower.isLoaded()) {
      Thread.sleep(5);
    }
  }

  @AfterEach
  void stopLoop() {
    loop.shutdownNow();
  }

  @Test
  void should_be_current_while_a_read_waits() {
    nowMillis.addAndGet(1_000);

    assertThat(follower.isReachable()).isTrue();
    assertThat(follower.unreachableDuration()).isZero();
  }

  @Test
  void should_not_be_current_after_the_process_stood_still() {
    nowMillis.addAndGet(4_000);

    assertThat(follower.isReachable()).isFalse();
    assertThat(follower.unreachableDuration()).isEqualTo(Duration.ofSeconds(4));
  }

  /** Lists an empty topic, and leaves every read without an answer. */
  private static final class OneAnswerStore implements RecordStore {
    @Override
    public CompletableFuture<AppendOutcome> append(
        String topic, AppendId position, OptionalLong end, List<KeyedRecord> records) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long from, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Page> readLatest(String topic, String afterKey) {
      return CompletableFuture.completedFuture(new Page(List.of(), false, 0));
    }
  }

  /** Takes no notice of records. */
  private static final class Unheard implements TopicListener {
    @Override
    public void reset(Map<String, byte[]> newest) {}

    @Override
    public void apply(KeyedRecord change) {}

    @Override
    public void advancedTo(long nextOffset) {}
  }
}
