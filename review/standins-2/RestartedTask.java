import java.util.List;

/** A task that lasts fails once, while other tasks that last fill the other workers. */
final class RestartedTask {
  private static final int WORKERS = 3;
  private static final int FILLING_JOB = 1;
  private static final int FAILING_JOB = 2;
  private static final String LASTS = "startup=500 ms=1000000";
  private static final long FAILS_MILLIS = 5_000;

  /** A task that lasts is judged from this time after its last run on, for this long. */
  private static final long EXCUSED_MILLIS = 6_000;

  private static final long IDLE_MILLIS = 3_000;
  private static final long WATCHED_MILLIS = 45_000;

  private RestartedTask() {}

  public static void main(String[] arguments) {
    Deployment.run(3, WORKERS, RestartedTask::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    Journal journal = deployment.journal;
    Fleet fleet = deployment.fleet;
    String lasting = ",\"cpu\":4000,\"memMb\":1024,\"perpetual\":true,\"gpu\":";
    deployment.submitTasks(FILLING_JOB, LASTS, WORKERS - 1, 1_000, lasting + 8);
    awaitRuns(fleet, WORKERS - 1);
    String spec = deployment.trouble ? LASTS + " fails=" + FAILS_MILLIS : LASTS;
    deployment.submitTasks(FAILING_JOB, spec, 1, 1_000, lasting + 4);
    awaitRuns(fleet, WORKERS);
    Fleet.Run first = fleet.runs().get(WORKERS - 1);
    Thread.sleep(FAILS_MILLIS + WATCHED_MILLIS);
    List<Fleet.Run> runs = fleet.runs();
    if (first.active()) {
      journal.say("%s runs on", first.task);
      return true;
    }
    long next =
        runs.size() > WORKERS ? runs.get(WORKERS).startedMillis : Journal.now();
    journal.say(
        "%s ended %s on %s, %d runs of it began after that, the first after %.1f s; %d runs are active",
        first.task, first.how, first.worker.id, runs.size() - WORKERS,
        (next - first.endedMillis) / 1000.0, fleet.active());
    return next - first.endedMillis <= EXCUSED_MILLIS + IDLE_MILLIS;
  }

  private static void awaitRuns(Fleet fleet, int count) throws InterruptedException {
    long until = Journal.now() + 15_000;
    while (fleet.runs().size() < count) {
      if (Journal.now() > until) {
        throw new IllegalStateException("the tasks did not begin");
      }
      Thread.sleep(5);
    }
  }
}
