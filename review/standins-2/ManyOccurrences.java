import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The leader is killed while a timed job is under way that has had many occurrences. */
final class ManyOccurrences {
  private static final int TIMED_JOB = 999;
  private static final int OCCURRENCES = 20_000;
  private static final int OCCURRENCES_BEFORE_KILL = 18_500;
  private static final int SMALL_JOBS = 6;
  private static final long PERIOD_MILLIS = 2;
  private static final long LONGEST_WAIT_MILLIS = 48_000;

  private ManyOccurrences() {}

  public static void main(String[] arguments) {
    Deployment.run(3, 4, ManyOccurrences::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    Journal journal = deployment.journal;
    String timed =
        "{\"spec\":\"ms=10\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":64,"
            + "\"estimateMs\":10}],\"repeatCount\":" + OCCURRENCES + ",\"firstMs\":"
            + System.currentTimeMillis() + ",\"periodMs\":" + PERIOD_MILLIS + "}";
    List<String> accepted = new ArrayList<>();
    accepted.add(Deployment.jobId(TIMED_JOB));
    journal.say(
        "the timed job was handed in: %d",
        deployment.submit(Deployment.jobId(TIMED_JOB), timed, 0, 4));
    long until = Journal.now() + LONGEST_WAIT_MILLIS;
    while (Journal.now() < until && deployment.fleet.ended("done") < OCCURRENCES_BEFORE_KILL) {
      Thread.sleep(100);
    }
    journal.say("%d occurrences have ended", deployment.fleet.ended("done"));
    if (deployment.trouble) {
      deployment.killLeader();
    }
    Thread.sleep(Deployment.STABLE_WINDOW_MILLIS);
    accepted.addAll(handInSmallJobs(deployment));
    Thread.sleep(Deployment.FINISH_MILLIS);
    return !Rules.waitInVain(deployment, accepted);
  }

  /** Hands in small jobs at the same time; returns those that were accepted. */
  private static List<String> handInSmallJobs(Deployment deployment) throws InterruptedException {
    List<String> accepted = Collections.synchronizedList(new ArrayList<>());
    List<Thread> consumers = new ArrayList<>();
    for (int job = 0; job < SMALL_JOBS; job++) {
      int number = job;
      consumers.add(
          Thread.startVirtualThread(
              () -> {
                if (deployment.submitTasks(number, 1, 500, ",\"cpu\":1000,\"memMb\":256")
                    == 200) {
                  accepted.add(Deployment.jobId(number));
                }
              }));
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    deployment.journal.say("%d of %d small jobs were accepted", accepted.size(), SMALL_JOBS);
    return accepted;
  }
}
