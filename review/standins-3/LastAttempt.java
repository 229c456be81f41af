import java.util.List;

/**
 * One of twelve workers fails all that it starts for some seconds. A job with one attempt left then
 * waits for the one worker that small jobs keep busy, while all others are idle.
 */
final class LastAttempt {
  private static final int WORKERS = 12;
  private static final int GREY_WORKER = 9;
  private static final long GREY_MILLIS = 6_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String JOB = "00000000000000a1";

  private LastAttempt() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, LastAttempt::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    long[] last = {0, 0};
    WorkerServer.Judge judge =
        new WorkerServer.Judge() {
          @Override
          public void started(WorkerServer worker, WorkerServer.Run run) {
            last[1] += run.task().startsWith(JOB) ? 1 : 0;
          }

          @Override
          public void ended(WorkerServer worker, WorkerServer.Run run, String how) {
            last[0] = run.task().startsWith(JOB) ? deployment.record.now() : last[0];
          }
        };
    deployment.start(
        WORKERS, new WorkerServer.Kind(32_000, 65_536, 8, List.of("a", "r1-1")), judge);
    long firstMillis = System.currentTimeMillis() + 500;
    deployment.submit(
        1, "/q1/0000000000abc000", "{\"spec\":\"ms=1500\",\"steps\":[{\"replicas\":1,\"cpu\":1000,"
            + "\"memMb\":1000,\"gpu\":1,\"estimateMs\":1500}],\"repeatCount\":60,\"firstMs\":"
            + firstMillis + ",\"periodMs\":700}");
    Deployment.pause(5_000);
    if (trouble) {
      deployment.workers.get(GREY_WORKER).setGrey(true);
    }
    deployment.submit(
        2, "/q1/" + JOB, "{\"spec\":\"ms=2000\",\"steps\":[{\"replicas\":1,\"cpu\":4000,"
            + "\"memMb\":4000,\"gpu\":8,\"estimateMs\":2000}]}");
    long trafficEnd = deployment.record.now();
    Deployment.pause(GREY_MILLIS);
    if (trouble) {
      deployment.workers.get(GREY_WORKER).setGrey(false);
    }
    Deployment.pause(FINISH_MILLIS + IDLE_MILLIS - GREY_MILLIS);
    Deployment.Answer answer = deployment.call(3, "GET", "/q1/" + JOB, null);
    boolean held = answer.body().contains("completed");
    if (!held) {
      long idle = deployment.workers.stream().filter(each -> each.running().isEmpty()).count();
      deployment.record.line(
          "judge",
          "LOST: the job has had nothing running for " + (deployment.record.now() - last[0])
              + " ms, " + (deployment.record.now() - trafficEnd)
              + " ms after it was handed in, with " + idle + " of " + WORKERS + " workers idle");
    }
    return held;
  }
}
