import java.util.ArrayList;
import java.util.List;

/**
 * An idle worker loses power and is back after 1.4 s under its id, as a machine of another kind;
 * meanwhile jobs come that only its former kind may run.
 */
final class OtherKind {
  private static final int WORKERS = 8;
  private static final long DOWN_MILLIS = 1_400;

  private OtherKind() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, OtherKind::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    List<String> broken = new ArrayList<>();
    WorkerServer.Judge judge =
        new WorkerServer.Judge() {
          @Override
          public void started(WorkerServer worker, WorkerServer.Run run) {
            int gpu = worker.running().size() * 8;
            if (!worker.kind().labels().contains("b")) {
              report("ROUTE", worker, run, "has the labels " + worker.kind().labels());
            }
            if (gpu > worker.kind().gpu()) {
              report("LIMIT", worker, run, "has " + worker.kind().gpu() + " GPUs");
            }
          }

          private synchronized void report(
              String rule, WorkerServer worker, WorkerServer.Run run, String why) {
            String line =
                rule + ": " + run.task() + ", which needs 8 GPUs and the label b, starts on "
                    + worker.id + ", which " + why;
            broken.add(line);
            deployment.record.line("judge", line);
          }
        };
    deployment.start(WORKERS, new WorkerServer.Kind(32_000, 65_536, 8, List.of("b", "r1-1")), judge);
    WorkerServer worker = deployment.workers.getFirst();
    Thread reboot =
        Thread.ofPlatform()
            .unstarted(
                () -> {
                  worker.losePower();
                  Deployment.pause(DOWN_MILLIS);
                  worker.boot(
                      new WorkerServer.Kind(16_000, 65_536, 2, List.of("a", "r1-1")));
                });
    if (trouble) {
      reboot.start();
    }
    Deployment.pause(300);
    for (int number = 0; number < WORKERS; number++) {
      deployment.submit(
          1 + number % 3,
          String.format("/q1/%016x", 0xabc000 + number),
          "{\"spec\":\"ms=3000\",\"steps\":[{\"replicas\":1,\"cpu\":8000,\"memMb\":8000,"
              + "\"gpu\":8,\"estimateMs\":3000,\"requiredLabel\":\"b\"}]}");
    }
    Deployment.pause(8_000);
    return broken.isEmpty();
  }
}
