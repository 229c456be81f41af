/** More than 500 ends wait on one worker that was cut off for a while and ran on. */
final class ManyEnds {
  private static final int JOBS = 7;
  private static final int TASKS_OF_JOB = 86;
  private static final int TASKS = JOBS * TASKS_OF_JOB;
  private static final long TASK_MILLIS = 4_000;
  private static final long BEFORE_FIRST_END_MILLIS = 200;
  private static final long LONGEST_CUT_MILLIS = 3_200;
  private static final long LONGEST_WAIT_MILLIS = 30_000;

  private ManyEnds() {}

  public static void main(String[] arguments) {
    Deployment.run(3, 6, ManyEnds::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    Journal journal = deployment.journal;
    Fleet fleet = deployment.fleet;
    for (int job = 0; job < JOBS; job++) {
      int status =
          deployment.submitTasks(job, TASKS_OF_JOB, TASK_MILLIS, ",\"cpu\":50,\"memMb\":64");
      journal.say("a job was handed in: %d", status);
    }
    long until = Journal.now() + 15_000;
    while (fleet.runs().isEmpty() && Journal.now() < until) {
      Thread.sleep(5);
    }
    Fleet.Run first = fleet.runs().get(0);
    Thread.sleep(
        Math.max(
            0, first.startedMillis + TASK_MILLIS - BEFORE_FIRST_END_MILLIS - Journal.now()));
    journal.say("%d tasks began, %d ended", fleet.runs().size(), fleet.ended("done"));
    if (deployment.trouble) {
      first.worker.cut();
      until = Journal.now() + LONGEST_CUT_MILLIS;
      while (fleet.ended("done") < TASKS && Journal.now() < until) {
        Thread.sleep(10);
      }
      journal.say("%d tasks have ended", fleet.ended("done"));
      first.worker.heal();
    }
    until = Journal.now() + LONGEST_WAIT_MILLIS;
    while (Journal.now() < until && !allCompleted(deployment)) {
      Thread.sleep(200);
    }
    Thread.sleep(2_000);
    return !Rules.startedTwice(deployment);
  }

  private static boolean allCompleted(Deployment deployment) {
    for (int job = 0; job < JOBS; job++) {
      String state = deployment.state(deployment.instances.get(0), Deployment.jobId(job));
      if (!state.equals("completed")) {
        return false;
      }
    }
    return true;
  }
}
