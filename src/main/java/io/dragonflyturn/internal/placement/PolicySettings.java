package io.dragonflyturn.internal.placement;

import java.time.Duration;
import java.util.List;

/**
 * The settings of the placement policy.
 *
 * @param serviceLevels the upper bounds of the attained-service levels, in seconds of run time
 * @param agingLimit how long a job waits before it ranks as aged and may stop jobs of lower rank
 * @param largeJobAgingLimit the same for large jobs
 * @param largeJobAccelerators the number of accelerators from which a job counts as large
 * @param agingFactor the seconds added to the aging limit for each second that the job has run
 * @param maximumStopCostPerWaitedSecond the accelerator seconds that a victim may lose for each
 *     accelerator second that an aged job has waited
 * @param coveredReclaimDelay how long a covered job that is not urgent waits before it stops others
 * @param serviceLevelReclaimDelay how long a job that is neither covered nor aged waits before it
 *     stops jobs of a higher service level
 * @param minimumRunTime how long a gang runs before it may be stopped for its attained service
 *     alone
 * @param restartCost the run time that a restart costs, charged to each victim
 * @param failureWindow how long a task failure counts as evidence against a worker
 * @param quarantineTime how long a worker stays in quarantine before it is released on probation
 * @param failedWorkersLimit the number of healthy workers on which a job fails before it is refused
 * @param returnRampDuration how long a returning failure domain takes to reach full use
 * @param leaveStopMargin how long before the deadline of a failure domain that is taken out its
 *     jobs are stopped
 */
public record PolicySettings(
    List<Double> serviceLevels,
    Duration agingLimit,
    Duration largeJobAgingLimit,
    int largeJobAccelerators,
    double agingFactor,
    double maximumStopCostPerWaitedSecond,
    Duration coveredReclaimDelay,
    Duration serviceLevelReclaimDelay,
    Duration minimumRunTime,
    Duration restartCost,
    Duration failureWindow,
    Duration quarantineTime,
    int failedWorkersLimit,
    Duration returnRampDuration,
    Duration leaveStopMargin) {
  /** The default settings. */
  public static final PolicySettings DEFAULT =
      new PolicySettings(
          List.of(60.0, 300.0, 1_200.0),
          Duration.ofMinutes(10),
          Duration.ofSeconds(30),
          9,
          8.0,
          0.02,
          Duration.ofSeconds(3),
          Duration.ofSeconds(30),
          Duration.ofSeconds(60),
          Duration.ofSeconds(10),
          Duration.ofMinutes(30),
          Duration.ofMinutes(2),
          3,
          Duration.ofSeconds(30),
          Duration.ofSeconds(5));

  /** Creates settings with a copy of the levels. */
  public PolicySettings {
    serviceLevels = List.copyOf(serviceLevels);
  }

  /** Returns the attained-service level, from 0, of a job that has run for the given time. */
  int serviceLevel(double runSeconds) {
    int serviceLevel = 0;
    while (serviceLevel < serviceLevels.size() && runSeconds >= serviceLevels.get(serviceLevel)) {
      serviceLevel++;
    }
    return serviceLevel;
  }
}
