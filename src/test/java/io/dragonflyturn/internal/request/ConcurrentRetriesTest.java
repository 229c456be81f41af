package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.Urgency;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that concurrent calls for the same request from many threads send it only once. */
class ConcurrentRetriesTest {
  private static final int THREADS = 16;
  private static final int REQUESTS = 200;

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
  private final ExecutorRequestTimer timer = new ExecutorRequestTimer(executor);
  private final AtomicInteger sent = new AtomicInteger();
  private final RequestService service = service();

  @AfterEach
  void stopTimer() {
    executor.shutdownNow();
  }

  @Test
  void should_send_once_when_many_threads_ask_at_the_same_time() throws Exception {
    try (ExecutorService callers = Executors.newFixedThreadPool(THREADS)) {
      for (int request = 0; request < REQUESTS; request++) {
        callConcurrently(callers, call("key-" + request));
      }
    }

    assertThat(sent).hasValue(REQUESTS);
  }

  private void callConcurrently(ExecutorService callers, RequestCall call) throws Exception {
    CountDownLatch start = new CountDownLatch(1);
    List<CompletableFuture<RequestResponse>> responses =
        IntStream.range(0, THREADS)
            .mapToObj(
                index -> CompletableFuture.supplyAsync(() -> callOnStart(start, call), callers))
            .toList();
    start.countDown();
    for (CompletableFuture<RequestResponse> response : responses) {
      assertThat(response.get().code().isSuccess()).isTrue();
    }
  }

  private RequestResponse callOnStart(CountDownLatch start, RequestCall call) {
    try {
      start.await();
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
    return service.handle(call).join();
  }

  private RequestService service() {
    TargetClient target =
        (address, attempt) -> {
          sent.incrementAndGet();
          return CompletableFuture.supplyAsync(() -> new TargetReply.Answered("done"), executor);
        };
    return SingleEntry.service(target, timer);
  }

  private static RequestCall call(String key) {
    return new RequestCall(
        "kiosks", key, false, 0, TargetOperation.BOOKING, Urgency.NORMAL, 10_000, false, "");
  }
}
