package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.MonotonicClock;
import io.dragonflyturn.internal.http.TargetHttpClients;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.ExecutorRequestTimer;
import io.dragonflyturn.internal.request.RequestTimer;
import jakarta.inject.Singleton;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Dagger module that provides what every process needs: clocks, metrics, timers, and clients. */
@Module
final class ProcessModule {
  /** Maximum number of connections to one worker or to the platform. */
  private static final int CONNECTIONS_PER_TARGET = 16;

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
  private static final int MAXIMUM_CLIENT_THREADS = 8;
  private static final int MINIMUM_CLIENT_THREADS = 2;

  private ProcessModule() {}

  @Provides
  @Singleton
  static MetricRegistry metrics() {
    MetricRegistry metrics = new MetricRegistry();
    ProcessMetrics.register(metrics);
    return metrics;
  }

  @Provides
  @Singleton
  static Closer closer() {
    return new Closer();
  }

  @Provides
  @Singleton
  static Clock clock() {
    return Clock.systemUTC();
  }

  @Provides
  @Singleton
  static MonotonicClock monotonicClock() {
    return new MonotonicClock();
  }

  @Provides
  @Singleton
  static ScheduledExecutorService timerThread(Closer closer) {
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("timer").factory());
    closer.register(executor::shutdownNow);
    return executor;
  }

  @Provides
  @Singleton
  static RequestTimer timer(ScheduledExecutorService executor) {
    return new ExecutorRequestTimer(executor);
  }

  @Provides
  @Singleton
  static ProtocolClients protocolClients(MetricRegistry metrics, Closer closer) {
    return closer.register(new ProtocolClients(metrics));
  }

  @Provides
  @Singleton
  static HttpClient httpClient(Closer closer) {
    HttpClient client =
        TargetHttpClients.create(CONNECTIONS_PER_TARGET, CONNECT_TIMEOUT, IDLE_TIMEOUT);
    QueuedThreadPool threadPool =
        new QueuedThreadPool(MAXIMUM_CLIENT_THREADS, MINIMUM_CLIENT_THREADS);
    threadPool.setName("http-client");
    threadPool.setDaemon(true);
    client.setExecutor(threadPool);
    try {
      client.start();
    } catch (Exception failure) {
      throw new IllegalStateException("The HTTP client could not be started", failure);
    }
    closer.register(client::stop);
    return client;
  }
}
