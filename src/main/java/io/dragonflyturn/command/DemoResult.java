package io.dragonflyturn.command;

import java.util.List;

/**
 * The measurements and the guarantee violations of one demo run.
 *
 * @param promisesBroken the number of violated guarantees; 0 on success
 * @param broken a message for each violation
 * @param jobs the number of submitted jobs
 * @param requests the number of sent requests
 * @param completionMeanSeconds the mean time from submission to end of a job, in seconds
 * @param completionP99Seconds the 99th percentile of that time, in seconds
 * @param urgentStartSeconds the time from submission to start of the urgent job, in seconds
 * @param gangWaitSeconds the time from submission to start of the gang, in seconds
 * @param fragmentation the mean fraction of accelerators that were free but unusable for the
 *     largest waiting gang
 * @param workDuringDomainChange the accelerators in use while the failure domain was out of
 *     service, as a fraction of those that running and waiting jobs could have used
 * @param seconds the duration of the demo, in seconds
 */
record DemoResult(
    int promisesBroken,
    List<String> broken,
    int jobs,
    int requests,
    double completionMeanSeconds,
    double completionP99Seconds,
    double urgentStartSeconds,
    double gangWaitSeconds,
    double fragmentation,
    double workDuringDomainChange,
    double seconds) {
  DemoResult {
    broken = List.copyOf(broken);
  }

  TextTable table() {
    TextTable table = new TextTable("Measure", "Value");
    table.add("Jobs completed", jobs);
    table.add("Requests answered", requests);
    table.add("Completion time, mean", seconds(completionMeanSeconds));
    table.add("Completion time, p99", seconds(completionP99Seconds));
    table.add("Urgent job, submit to start", seconds(urgentStartSeconds));
    table.add("Gang, submit to start", seconds(gangWaitSeconds));
    table.add("Fragmentation", percent(fragmentation));
    table.add("Work done during the change", percent(workDuringDomainChange));
    table.add("Promises broken", promisesBroken);
    return table;
  }

  private static String seconds(double value) {
    return String.format(java.util.Locale.ROOT, "%.2f s", value);
  }

  private static String percent(double value) {
    return String.format(java.util.Locale.ROOT, "%.0f %%", 100 * value);
  }
}
