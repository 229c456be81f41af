package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.logging.EventLog;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The services and settings that the dispatcher and the leader depend on.
 *
 * @param instance the name of this instance
 * @param capacity the capacity of this instance
 * @param store the record store of the platform
 * @param gateway sends orders to workers
 * @param workerFeed reports the registrations of workers
 * @param rules the decisions of operators about failure domains
 * @param guarantees the accelerators that the configuration guarantees to customers
 * @param directory the directory of all jobs
 * @param eventLoop the event loop on which all callbacks run
 * @param monotonicClock a clock that never goes back, used for all durations and timeouts
 * @param wallClock the time of day, used only for the due times of occurrences
 * @param settings the limits of the platform
 * @param events the event log
 * @param metrics the metrics of the leader
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
    ScheduledExecutorService eventLoop,
    InstantSource monotonicClock,
    InstantSource wallClock,
    DispatchSettings settings,
    EventLog events,
    DispatchMetrics metrics) {
  long nowMillis() {
    return monotonicClock.millis();
  }
}
