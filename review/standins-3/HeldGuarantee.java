import java.util.ArrayList;
import java.util.List;

/**
 * Jobs that last come at once and take all GPUs; then a tenant hands in an urgent job that needs no
 * more than its guarantee.
 */
final class HeldGuarantee {
  private static final int WORKERS = 8;
  private static final int GPUS = 8;
  private static final long RECLAIM_MILLIS = 2_700;
  private static final long LASTING_JOBS = 4;
  private static final String URGENT_JOB = "00000000000000a1";

  private HeldGuarantee() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, HeldGuarantee::holds);
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
        WORKERS, new WorkerServer.Kind(32_000, 65_536, GPUS, List.of("a", "r1-1")), judge);
    if (trouble) {
      for (int number = 0; number < LASTING_JOBS; number++) {
        deployment.submit(
            1 + number % 3,
            String.format("/q1/%016x", 0xabc000 + number),
            "{\"spec\":\"ms=600000\",\"steps\":[{\"replicas\":"
                + WORKERS / LASTING_JOBS
                + ",\"cpu\":8000,\"memMb\":8000,\"gpu\":8,\"estimateMs\":1000,\"perpetual\":true}]}",
            Deployment.OTHER_KEY);
      }
    }
    Deployment.pause(8_000);
    deployment.submit(
        1,
        "/q0/" + URGENT_JOB,
        "{\"spec\":\"ms=2000\",\"steps\":[{\"replicas\":1,\"cpu\":4000,\"memMb\":4000,\"gpu\":8,"
            + "\"estimateMs\":2000}]}");
    long confirmed = deployment.record.now();
    Deployment.pause(30_000);
    deployment.call(2, "GET", "/q0/" + URGENT_JOB, null);
    synchronized (begun) {
      long waited = begun.isEmpty() ? -1 : begun.getFirst() - confirmed;
      boolean held = waited >= 0 && waited <= RECLAIM_MILLIS || !begun.isEmpty() && waited < 0;
      deployment.record.line(
          "judge",
          begun.isEmpty()
              ? "RECLAIM: the urgent job has not begun within 30 s of its confirmation"
              : "the urgent job began " + waited + " ms after its confirmation");
      return held;
    }
  }
}
