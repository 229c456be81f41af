import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Judges the rule LOST: from finish_s after the last job was handed in, a job has nothing running
 * for 3 s though its task's turn has come, there is capacity for it twice over, and under half of
 * the capacity is in use. All jobs here are one task that takes all GPUs of a worker.
 */
final class LostJobJudge implements WorkerServer.Judge {
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;

  private final Deployment deployment;
  private final Set<String> done = new HashSet<>();
  private final Set<String> running = new HashSet<>();

  LostJobJudge(Deployment deployment) {
    this.deployment = deployment;
  }

  @Override
  public synchronized void started(WorkerServer worker, WorkerServer.Run run) {
    running.add(run.task().substring(0, 16));
  }

  @Override
  public synchronized void ended(WorkerServer worker, WorkerServer.Run run, String how) {
    running.remove(run.task().substring(0, 16));
    if (how.equals("done")) {
      done.add(run.task().substring(0, 16));
    }
  }

  /** Hands in jobs, one task each. Returns their ids. */
  List<String> submit(int count) {
    List<String> ids = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String id = String.format("%016x", 0xabc000 + number);
      boolean accepted =
          deployment.submit(
              1 + number % 3,
              "/q1/" + id,
              "{\"spec\":\"ms=2000\",\"steps\":[{\"replicas\":1,\"cpu\":8000,\"memMb\":8000,"
                  + "\"gpu\":8,\"estimateMs\":2000}]}");
      if (accepted) {
        ids.add(id);
      }
    }
    return ids;
  }

  /** Watches until all jobs are done or the rule is broken. Returns whether it held. */
  boolean holds(List<String> ids) {
    long trafficEnd = deployment.record.now();
    long[] idleSince = new long[ids.size()];
    java.util.Arrays.fill(idleSince, -1);
    boolean broken = false;
    long until = trafficEnd + FINISH_MILLIS + IDLE_MILLIS + 5_000;
    while (deployment.record.now() < until) {
      Deployment.pause(50);
      long now = deployment.record.now();
      long up = deployment.workers.stream().filter(WorkerServer::isUp).count();
      long busy = deployment.workers.stream().filter(each -> !each.running().isEmpty()).count();
      boolean roomTwice = up - busy >= 2 && busy * 2 < up;
      synchronized (this) {
        if (done.containsAll(ids)) {
          return !broken;
        }
        for (int number = 0; number < ids.size(); number++) {
          String id = ids.get(number);
          boolean idle = !done.contains(id) && !running.contains(id) && roomTwice;
          idleSince[number] = !idle ? -1 : idleSince[number] < 0 ? now : idleSince[number];
          if (!broken
              && idle
              && now >= trafficEnd + FINISH_MILLIS
              && now - idleSince[number] > IDLE_MILLIS) {
            broken = true;
            deployment.record.line(
                "judge",
                "LOST: job " + id + " has had nothing running for " + (now - idleSince[number])
                    + " ms, " + (now - trafficEnd) + " ms after the last job was handed in, with "
                    + (up - busy) + " of " + up + " workers idle");
          }
        }
      }
    }
    for (String id : ids) {
      deployment.call(1, "GET", "/q1/" + id, null);
    }
    return !broken;
  }
}
