package io.dragonflyturn.measure.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** One row of the table: the metrics of a policy, computed over the samples of all seeds. */
record PolicyResult(
    String name,
    double completionMeanSeconds,
    double completionP99Seconds,
    double urgentStartP99Seconds,
    double largeGangWaitP99Seconds,
    double fragmentation,
    double workDuringDomainChange,
    double lostAcceleratorHours,
    int promisesBroken) {

  static PolicyResult of(String name, List<PolicyMetrics> runs) {
    List<Double> completion = collect(runs, run -> run.completionSeconds);
    double mean = completion.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    int violations =
        runs.stream()
            .flatMap(run -> run.auditor.violations().values().stream())
            .mapToInt(Integer::intValue)
            .sum();
    return new PolicyResult(
        name,
        round(mean),
        round(percentile(completion)),
        round(percentile(collect(runs, run -> run.urgentStartSeconds))),
        round(percentile(collect(runs, run -> run.largeGangWaitSeconds))),
        round(ratio(runs, run -> run.unusableAcceleratorSeconds, run -> run.acceleratorSeconds)),
        round(ratio(runs, run -> run.usefulSecondsInChange, run -> run.possibleSecondsInChange)),
        round(runs.stream().mapToDouble(PolicyMetrics::lostHours).sum()),
        violations);
  }

  /** Returns the 99th percentile, or 0 for no values. */
  static double percentile(List<Double> values) {
    if (values.isEmpty()) {
      return 0;
    }
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.ceil(sorted.size() * 0.99) - 1);
  }

  private static List<Double> collect(
      List<PolicyMetrics> runs, Function<PolicyMetrics, List<Double>> values) {
    List<Double> all = new ArrayList<>();
    runs.forEach(run -> all.addAll(values.apply(run)));
    return all;
  }

  private static double ratio(
      List<PolicyMetrics> runs,
      ToDoubleFunction<PolicyMetrics> part,
      ToDoubleFunction<PolicyMetrics> whole) {
    double total = runs.stream().mapToDouble(whole).sum();
    return total == 0 ? 0 : runs.stream().mapToDouble(part).sum() / total;
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
