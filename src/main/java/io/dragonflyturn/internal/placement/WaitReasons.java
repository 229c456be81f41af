package io.dragonflyturn.internal.placement;

/** Builds the texts that explain why a queued job waits for accelerators. */
final class WaitReasons {
  private WaitReasons() {}

  /** Returns why no placement was found for a job, and what would let it start. */
  static WaitReason noPlacement(PlanningJob job, PolicySettings settings) {
    String shape = Shapes.describe(job.shape());
    return job.blockedByGuarantees
        ? blockedByGuarantees(shape)
        : new WaitReason("no free block of " + shape, startCondition(job, settings));
  }

  private static WaitReason blockedByGuarantees(String shape) {
    return new WaitReason(
        "the free accelerators for "
            + shape
            + " are needed for guarantees, and a job that cannot be stopped may not use them",
        "the end of other jobs that cannot be stopped, or the return of workers that are out of"
            + " service");
  }

  private static String startCondition(PlanningJob job, PolicySettings settings) {
    String end = "the end of running jobs";
    if (job.isNonStoppableBorrower()) {
      return end;
    }
    double seconds =
        settings.agingLimit().toSeconds() + Math.floor(settings.agingFactor() * job.runSeconds);
    return end + ", or " + (long) seconds + " s of waiting";
  }
}
