import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker leaves the start orders of a task unanswered and carries them out late. Meanwhile it has
 * crashed, left the list of workers, and started again under its id.
 */
final class LateStart {
  private static final int WORKERS = 8;
  private static final int SMALL_TASKS = 64;
  private static final long LATE_MILLIS = 11_900;
  private static final long PLACED_AGAIN_MILLIS = 8_000;
  private static final long BOOT_MILLIS = 200;
  private static final long WATCHED_MILLIS = 22_000;
  private static final long OTHER_JOB_MILLIS = 2_300;
  private static final String JOB = "00000000000000a1";

  private LateStart() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, LateStart::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    List<String> broken = new ArrayList<>();
    Map<String, String> running = new HashMap<>();
    WorkerServer.Judge judge =
        new WorkerServer.Judge() {
          @Override
          public void started(WorkerServer worker, WorkerServer.Run run) {
            synchronized (running) {
              String other = running.put(run.task(), worker.id + " run " + run.number());
              if (other != null) {
                String line =
                    "TWICE: " + run.task() + " starts on " + worker.id + " as run " + run.number()
                        + " while it runs on " + other;
                broken.add(line);
                deployment.record.line("judge", line);
              }
            }
          }

          @Override
          public void ended(WorkerServer worker, WorkerServer.Run run, String how) {
            synchronized (running) {
              running.remove(run.task(), worker.id + " run " + run.number());
            }
          }
        };
    deployment.start(
        WORKERS, new WorkerServer.Kind(32_000, 65_536, 8, List.of("a", "r1-1")), judge);
    deployment.submit(
        2, "/q1/0000000000abc000", "{\"spec\":\"ms=500\",\"steps\":[{\"replicas\":" + SMALL_TASKS
            + ",\"cpu\":1000,\"memMb\":1000,\"gpu\":1,\"estimateMs\":500}]}");
    Deployment.pause(3_000);
    WorkerServer worker = deployment.workers.getFirst();
    if (trouble) {
      worker.answerLate(JOB, LATE_MILLIS);
    }
    deployment.submit(
        2, "/q1/" + JOB, "{\"spec\":\"ms=30000\",\"steps\":[{\"replicas\":1,\"cpu\":4000,"
            + "\"memMb\":4000,\"gpu\":4,\"estimateMs\":30000}]}");
    long submitted = deployment.record.now();
    Deployment.pause(OTHER_JOB_MILLIS);
    deployment.submit(
        3, "/q1/0000000000abc001", "{\"spec\":\"ms=40000\",\"steps\":[{\"replicas\":1,\"cpu\":4000,"
            + "\"memMb\":4000,\"gpu\":4,\"estimateMs\":40000}]}");
    if (trouble) {
      while (!runsElsewhere(running, worker)) {
        if (deployment.record.now() > submitted + PLACED_AGAIN_MILLIS) {
          throw new IllegalStateException("The task was not placed again in time.");
        }
        Deployment.pause(10);
      }
      worker.losePower();
      while (worker.isRegistered()) {
        Deployment.pause(10);
      }
      worker.answerLate("", 0);
      Deployment.pause(BOOT_MILLIS);
      worker.boot(worker.kind());
    }
    Deployment.pause(submitted + WATCHED_MILLIS - deployment.record.now());
    return broken.isEmpty();
  }

  private static boolean runsElsewhere(Map<String, String> running, WorkerServer worker) {
    synchronized (running) {
      return running.entrySet().stream()
          .anyMatch(
              run -> run.getKey().startsWith(JOB) && !run.getValue().startsWith(worker.id + " "));
    }
  }
}
