import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Jobs are cancelled right after they were accepted, at another instance. */
final class PromptCancel {
  private static final int JOBS = 30;

  /** Every third job is cancelled, a share of 0.33. */
  private static final int CANCEL_EACH = 3;

  private static final long CANCEL_MILLIS = 3_000;
  private static final long STOP_MILLIS = 200;

  private PromptCancel() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, PromptCancel::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    Map<String, Long> cancelled = new ConcurrentHashMap<>();
    List<String> broken = new ArrayList<>();
    WorkerServer.Judge judge =
        new WorkerServer.Judge() {
          @Override
          public void started(WorkerServer worker, WorkerServer.Run run) {
            check("starts", run, CANCEL_MILLIS);
          }

          @Override
          public void ended(WorkerServer worker, WorkerServer.Run run, String how) {
            check("still ran until it ended " + how, run, CANCEL_MILLIS + STOP_MILLIS);
          }

          private synchronized void check(String what, WorkerServer.Run run, long bound) {
            Long since = cancelled.get(run.task().substring(0, 16));
            if (since != null && deployment.record.now() - since > bound) {
              long late = deployment.record.now() - since;
              String line = "UNASKED: " + run.task() + " " + what + ", " + late + " ms after";
              broken.add(line);
              deployment.record.line("judge", line);
            }
          }
        };
    deployment.start(4, new WorkerServer.Kind(32_000, 65_536, 8, List.of("a", "r1-1")), judge);
    int leader = deployment.leader();
    int first = leader % 3 + 1;
    int second = first % 3 + 1;
    for (int number = 0; number < JOBS; number++) {
      String path = String.format("/q1/%016x", 0xabc000 + number);
      deployment.submit(
          first, path, "{\"spec\":\"ms=12000\",\"steps\":[{\"replicas\":1,\"cpu\":1000,"
              + "\"memMb\":100,\"estimateMs\":12000}]}");
      if (number % CANCEL_EACH != 0) {
        Deployment.pause(100);
        continue;
      }
      Deployment.pause(trouble ? 20 : 3_200);
      int instance = number % 2 == 0 ? second : first;
      int status = deployment.call(instance, "DELETE", path, null).status();
      if (status / 100 == 2 || status == 410) {
        cancelled.put(path.substring(4), deployment.record.now());
      }
      Deployment.pause(310);
    }
    Deployment.pause(13_000);
    return broken.isEmpty();
  }
}
