package io.dragonflyturn.internal.dispatch;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.fleet.RegistrationListener;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.ledger.AppendId;
import io.dragonflyturn.internal.ledger.AppendLimits;
import io.dragonflyturn.internal.ledger.AppendOutcome;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.StoreStatus;
import io.dragonflyturn.internal.ledger.TopicConsumer;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.policy.CustomerDirectory;
import io.dragonflyturn.internal.policy.CustomerTerms;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.QueuePolicy;
import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Several instances with an in-memory store and workers, all on one manually advanced event loop.
 */
final class DispatchFixture {
  static final InstanceCapacity LARGE = new InstanceCapacity(1.5, 200);
  static final InstanceCapacity SMALL = new InstanceCapacity(0.36, 10);
  private static final long STORE_TIMEOUT_MILLIS = 600;
  static final Resources TASK = new Resources(4_000, 8_000, 1);

  final ManualLoop loop = new ManualLoop();
  final FakeRecordStore store = new FakeRecordStore(loop);
  final FakeWorkers workers = new FakeWorkers(loop);
  final DisturbedGateway orders = new DisturbedGateway(workers, loop);
  final FakeRegistry registry = new FakeRegistry(workers);
  final Set<String> domainsOutOfService = new HashSet<>();
  final RulesStatus rulesStatus = new RulesStatus();
  final Map<String, CustomerTerms> terms = new HashMap<>();
  private long maximumLeaseMillis = 6_000;

  /** How old the registrations are that the instances have read. */
  Duration registrationsAge = Duration.ZERO;

  private final CustomerDirectory customers =
      new CustomerDirectory() {
        @Override
        public CustomerTerms termsOf(String customer) {
          return terms.getOrDefault(customer, CustomerTerms.NONE);
        }

        @Override
        public boolean hasWeights() {
          return terms.values().stream().anyMatch(each -> each.weight() > 0);
        }
      };
  private final List<Instance> instances = new ArrayList<>();
  private final EventLog events = new EventLog(System.err, loop, "test");
  private final SequencedWriter submissions =
      new SequencedWriter(store, LedgerKeys.JOBS_TOPIC, "entry", 1, 1, true, loop, events);

  DispatchFixture() {
    this(true);
  }

  /**
   * Creates a fixture.
   *
   * @param logs whether events are written as they happen; otherwise the first ones are kept for
   *     {@link #printEvents}
   */
  DispatchFixture(boolean logs) {
    if (logs) {
      events.start();
    }
  }

  /** Writes the events that are kept. */
  void printEvents() {
    events.close();
  }

  /** An instance that can be disconnected from the store and the workers. */
  final class Instance {
    final String name;
    final Dispatcher dispatcher;
    final MetricRegistry metrics = new MetricRegistry();
    final JobDirectory directory = new JobDirectory(loop, events);
    final DispatchMetrics dispatchMetrics = DispatchMetrics.register(metrics);
    private final DisconnectableStore connection;
    private final FakeWorkerFeed feed = new FakeWorkerFeed();
    private final Set<String> unreachableWorkers = new HashSet<>();

    Instance(String name, InstanceCapacity capacity) {
      this.name = name;
      connection = new DisconnectableStore(store);
      TopicConsumer follower =
          new TopicConsumer(
              connection,
              LedgerKeys.JOBS_TOPIC,
              directory,
              loop,
              Duration.ofSeconds(1),
              this::jobsPollPause,
              loop,
              events);
      dispatcher =
          new Dispatcher(
              new DispatchContext(
                  name,
                  capacity,
                  connection,
                  new DisconnectableGateway(orders, unreachableWorkers, loop),
                  feed,
                  domainsOutOfService::contains,
                  rulesStatus,
                  customers,
                  directory,
                  loop,
                  loop,
                  loop,
                  new DispatchSettings(maximumLeaseMillis, 200, 3_000, 5_000, 2_700),
                  events,
                  dispatchMetrics),
              follower);
      follower.start();
      dispatcher.start();
    }

    private Duration jobsPollPause() {
      return dispatcher.jobsPollPause();
    }

    /** Disconnects the instance from the store and the workers. */
    void disconnect() {
      connection.disconnected = true;
      unreachableWorkers.addAll(workers.ids());
    }

    /** Disconnects the instance from the store; it still reaches the workers. */
    void disconnectFromStore() {
      connection.disconnected = true;
    }

    /** Disconnects the instance from some workers, which keep their registrations. */
    void disconnectFromWorkers(String... ids) {
      unreachableWorkers.addAll(List.of(ids));
    }

    /** Reconnects the instance to the store and the workers. */
    void reconnect() {
      connection.disconnected = false;
      unreachableWorkers.clear();
    }

    @Nullable JobState state(String job) {
      JobEntry entry = directory.job(job);
      return entry == null ? null : entry.state();
    }
  }

  /** Sets the longest lease that workers accept; must be called before instances are added. */
  void setMaximumLeaseMillis(long millis) {
    maximumLeaseMillis = millis;
    workers.setMaximumLeaseMillis(millis);
  }

  Instance instance(String name) {
    return instance(name, LARGE);
  }

  Instance instance(String name, InstanceCapacity capacity) {
    Instance instance = new Instance(name, capacity);
    instances.add(instance);
    return instance;
  }

  Instance leader() {
    return instances.stream()
        .filter(each -> each.dispatcher.isLeading() && !each.connection.disconnected)
        .findFirst()
        .orElseThrow();
  }

  void advance(long millis) {
    loop.advance(Duration.ofMillis(millis));
  }

  void submit(String id, int priority, StepSpecification... steps) {
    submitFor("customer", id, priority, steps);
  }

  void submitFor(String customer, String id, int priority, StepSpecification... steps) {
    sendSubmission(customer, id, priority, steps);
  }

  /** Submits a job. Returns whether the store has accepted it, once that is known. */
  CompletableFuture<WriteResult> sendSubmission(
      String customer, String id, int priority, StepSpecification... steps) {
    SubmittedJob job =
        new SubmittedJob(
            id,
            customer,
            new QueuePolicy("queue", "service", priority, 2, 3.0, 1_000),
            loop.millis(),
            "content",
            List.of(steps),
            Recurrence.NONE);
    return submissions.write(
        new KeyedRecord(LedgerKeys.submission(id), WorkloadCodec.encodeSubmission(job)));
  }

  /** Reports to all instances that a worker is draining. */
  void drain(String worker, long remainingMillis) {
    registry.replace(workers.drainingRegistration(worker, remainingMillis));
    instances.forEach(
        each -> each.feed.report(workers.drainingRegistration(worker, remainingMillis)));
  }

  /** Reports the current registrations of all workers to all instances. */
  void reportWorkers() {
    workers.registrations().forEach(each -> reportWorker(each.id()));
  }

  /** Reports the current registration of a worker to all instances. */
  void reportWorker(String id) {
    registry.publish(id);
    instances.forEach(each -> each.feed.report(workers.registration(id)));
  }

  /** Reports to all instances that a worker is not registered any more. */
  void unregister(String id) {
    registry.remove(id);
    instances.forEach(each -> each.feed.reportRemoval(id));
  }

  void cancel(String id) {
    submissions.write(new KeyedRecord(LedgerKeys.cancellation(id), new byte[] {1}));
  }

  /** Returns the terms of a customer with guaranteed accelerators and nothing else. */
  static CustomerTerms guaranteed(long accelerators) {
    return new CustomerTerms(accelerators, 0, Resources.NONE, 1);
  }

  static StepSpecification tasks(int replicas) {
    return step(replicas, false, TASK);
  }

  static StepSpecification longTask(long estimateMillis) {
    return new StepSpecification(
        1, TASK, estimateMillis, List.of(), false, false, false, "", "", 0, false, false);
  }

  static StepSpecification checkpointedTask() {
    return new StepSpecification(
        1, TASK, 3_000, List.of(), true, false, false, "", "", 0, false, false);
  }

  static StepSpecification gang(int replicas) {
    return step(replicas, true, TASK);
  }

  static StepSpecification step(int replicas, boolean gang, Resources demand) {
    return new StepSpecification(
        replicas, demand, 3_000, List.of(), false, gang, false, "", "", 0, false, false);
  }

  /** How current the rules of operators are, as set by the test. */
  static final class RulesStatus implements StoreStatus {
    boolean loaded = true;
    Duration unreachable = Duration.ZERO;
    Duration age = Duration.ZERO;

    @Override
    public boolean isLoaded() {
      return loaded;
    }

    @Override
    public boolean isReachable() {
      return unreachable.isZero();
    }

    @Override
    public Duration unreachableDuration() {
      return unreachable;
    }

    @Override
    public Duration age() {
      return age;
    }
  }

  /** Reports the registrations of the in-memory workers. */
  private final class FakeWorkerFeed implements WorkerFeed {
    private boolean started;
    private @Nullable RegistrationListener registrationListener;

    void report(WorkerRegistration registration) {
      RegistrationListener current = registrationListener;
      if (started && current != null) {
        current.registered(registration);
      }
    }

    void reportRemoval(String id) {
      RegistrationListener current = registrationListener;
      if (started && current != null) {
        current.unregistered(id);
      }
    }

    @Override
    public void start(RegistrationListener listener) {
      started = true;
      registrationListener = listener;
      registry.registrations().forEach(listener::registered);
    }

    @Override
    public void stop() {
      started = false;
    }

    @Override
    public boolean isSynced() {
      return started;
    }

    @Override
    public Duration age() {
      return registrationsAge;
    }
  }

  /** A connection to the store that can be disconnected. */
  private final class DisconnectableStore implements RecordStore {
    private final RecordStore store;
    private boolean disconnected;

    DisconnectableStore(RecordStore store) {
      this.store = store;
    }

    @Override
    public AppendLimits limits() {
      return store.limits();
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
        String topic, AppendId position, OptionalLong expectedEnd, List<KeyedRecord> records) {
      if (!disconnected) {
        return store.append(topic, position, expectedEnd, records);
      }
      CompletableFuture<AppendOutcome> answer = new CompletableFuture<>();
      loop.schedule(
          () -> answer.complete(new AppendOutcome.Unknown()),
          STORE_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long from, Duration wait) {
      return disconnected
          ? CompletableFuture.failedFuture(
              new IllegalStateException("the instance is disconnected"))
          : store.read(topic, from, wait);
    }

    @Override
    public CompletableFuture<Page> readLatest(String topic, String afterKey) {
      return disconnected
          ? CompletableFuture.failedFuture(
              new IllegalStateException("the instance is disconnected"))
          : store.readLatest(topic, afterKey);
    }
  }
}
