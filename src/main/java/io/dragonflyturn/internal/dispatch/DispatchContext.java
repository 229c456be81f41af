package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.logging.EventLog;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What the leader works with.
 *
 * @param instance the name of this instance
 * @param capacity what this instance can carry
 * @param store the platform's store
 * @param gateway gives orders to workers
 * @param feed follows the workers' reports
 * @param rules what operators decided about failure domains
 * @param guarantees what the configuration guarantees to customers
 * @param directory all jobs
 * @param loop the event loop, on which everything runs
 * @param steady a clock that never goes back
 * @param timeOfDay the time of day, for due times only
 * @param settings the platform's bounds
 * @param events the log of decisions
 * @param metrics the counters of decisions
 */
public record DispatchContext(
    String instance,
    InstanceCapacity capacity,
    RecordStore store,
    WorkerGateway gateway,
    WorkerFeed workerFeed,
    DomainRules rules,
    CustomerGuarantees guarantees,
    JobDirectory directory,
    ScheduledExecutorService loop,
    InstantSource monotonicClock,
    InstantSource wallClock,
    DispatchSettings settings,
    EventLog events,
    DispatchMetrics metrics) {
  long nowMillis() {
    return monotonicClock.millis();
  }
}
