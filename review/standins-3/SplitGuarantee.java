import java.util.ArrayList;
import java.util.List;

/**
 * Jobs of low priority leave one GPU free on each worker, one tenant's urgent job within its
 * guarantee takes these, and then another tenant hands in an urgent job within its own guarantee
 * whose task needs all GPUs of a worker.
 */
final class SplitGuarantee {
  private static final int WORKERS = 8;
  private static final long RECLAIM_MILLIS = 2_700;
  private static final String URGENT_JOB = "00000000000000a1";

  private SplitGuarantee() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, SplitGuarantee::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    List<Long> begun = new ArrayList<>();
    WorkerServer.Judge judge =
        new WorkerServer.Judge() {
          @Override
          public void started(WorkerServer worker, WorkerServer.Run run) {
            if (run.task().startsWith(URGENT_JOB)) {
              synchronized (begun) {
                begun.add(deployment.record.now());
              }
            }
          }
        };
    deployment.start(
        WORKERS, new WorkerServer.Kind(32_000, 65_536, 8, List.of("a", "r1-1")), judge);
    if (trouble) {
      deployment.submit(
          1, "/q2/0000000000abc000", "{\"spec\":\"ms=60000\",\"steps\":[{\"replicas\":8,"
              + "\"cpu\":4000,\"memMb\":4000,\"gpu\":7,\"estimateMs\":60000}]}", Deployment.OTHER_KEY);
      Deployment.pause(1_000);
    }
    deployment.submit(
        1, "/q0/0000000000abc001", "{\"spec\":\"ms=60000\",\"steps\":[{\"replicas\":8,"
            + "\"cpu\":1000,\"memMb\":1000,\"gpu\":1,\"estimateMs\":60000}]}", Deployment.OTHER_KEY);
    Deployment.pause(3_000);
    deployment.submit(
        1, "/q0/" + URGENT_JOB, "{\"spec\":\"ms=2000\",\"steps\":[{\"replicas\":1,\"cpu\":4000,"
            + "\"memMb\":4000,\"gpu\":8,\"estimateMs\":2000}]}");
    long confirmed = deployment.record.now();
    Deployment.pause(20_000);
    deployment.call(2, "GET", "/q0/" + URGENT_JOB, null);
    synchronized (begun) {
      boolean held = !begun.isEmpty() && begun.getFirst() - confirmed <= RECLAIM_MILLIS;
      deployment.record.line(
          "judge",
          begun.isEmpty()
              ? "RECLAIM: the urgent job has not begun within 20 s of its confirmation"
              : "the urgent job began " + (begun.getFirst() - confirmed) + " ms after its confirmation");
      return held;
    }
  }
}
