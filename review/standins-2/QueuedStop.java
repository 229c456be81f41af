import java.util.ArrayList;
import java.util.List;

/** A running job is cancelled while many starts of other jobs wait to be sent to its worker. */
final class QueuedStop {
  private static final int RUNNING_JOB = 1;
  private static final int RUNNING_TASKS = 4;
  private static final int LARGE_JOBS = 5;
  private static final int LARGE_TASKS = 94;
  private static final long START_MILLIS = 60;

  /** Time for the leader to read and place all of the large jobs. */
  private static final long PLACING_MILLIS = 300;

  private QueuedStop() {}

  public static void main(String[] arguments) {
    Deployment.run(3, 2, QueuedStop::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    Journal journal = deployment.journal;
    Fleet fleet = deployment.fleet;
    fleet.startMillis = START_MILLIS;
    deployment.submitTasks(RUNNING_JOB, RUNNING_TASKS, 30_000, ",\"cpu\":500,\"memMb\":64");
    awaitRuns(fleet, RUNNING_TASKS);
    Thread.sleep(2_000);
    if (deployment.trouble) {
      handInLargeJobs(deployment);
      awaitRuns(fleet, RUNNING_TASKS + LARGE_JOBS);
      Thread.sleep(PLACING_MILLIS);
    }
    int status =
        deployment.send(
            deployment.instances.get(0), "DELETE", Deployment.jobId(RUNNING_JOB), null);
    long cancelledMillis = Journal.now();
    journal.say("the running job was cancelled: %d", status);
    Thread.sleep(15_000);
    int broken = 0;
    for (Fleet.Run run : fleet.runs()) {
      if (!run.task.startsWith(Deployment.jobId(RUNNING_JOB))) {
        continue;
      }
      long endedMillis = run.active() ? Journal.now() : run.endedMillis;
      journal.say(
          "%s ran on for %d ms after the acknowledgement (%s)", run.task,
          endedMillis - cancelledMillis, run.how);
      boolean late =
          endedMillis > cancelledMillis + Deployment.CANCEL_MILLIS + Fleet.STOP_MILLIS;
      broken += late ? 1 : 0;
    }
    return status != 200 || broken == 0;
  }

  private static void handInLargeJobs(Deployment deployment) throws InterruptedException {
    List<Thread> consumers = new ArrayList<>();
    for (int job = 0; job < LARGE_JOBS; job++) {
      int number = RUNNING_JOB + 1 + job;
      consumers.add(
          Thread.startVirtualThread(
              () ->
                  deployment.submitTasks(
                      number, LARGE_TASKS, 1_000, ",\"cpu\":60,\"memMb\":32")));
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
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
