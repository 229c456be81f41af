package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerGateway;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.ledger.StoreStatus;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.policy.CustomerDirectory;
import java.time.Duration;
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
 * @param rulesStatus how current the rules and the terms of customers are
 * @param customers what the configuration grants customers
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
    StoreStatus rulesStatus,
    CustomerDirectory customers,
    JobDirectory directory,
    ScheduledExecutorService eventLoop,
    InstantSource monotonicClock,
    InstantSource wallClock,
    DispatchSettings settings,
    EventLog events,
    DispatchMetrics metrics) {
  /** How old the rules may be when a run is placed. */
  private static final Duration MAXIMUM_RULES_AGE = Duration.ofSeconds(3);

  /** Returns whether the rules are known and recent enough to place runs. */
  boolean areRulesCurrent() {
    return rulesStatus.isLoaded() && rulesStatus.age().compareTo(MAXIMUM_RULES_AGE) <= 0;
  }

  long nowMillis() {
    return monotonicClock.millis();
  }
}
