import java.util.List;

/** One of eight idle workers loses power for good; then jobs come, one for each worker. */
final class CrashedWorker {
  private static final int WORKERS = 8;
  private static final long UNNOTICED_MILLIS = 1_000;

  private CrashedWorker() {}

  public static void main(String[] arguments) {
    CaseMain.run(arguments, CrashedWorker::holds);
  }

  static boolean holds(Deployment deployment, boolean trouble) throws Exception {
    LostJobJudge judge = new LostJobJudge(deployment);
    deployment.start(WORKERS, new WorkerServer.Kind(32_000, 65_536, 8, List.of("a", "r1-1")), judge);
    if (trouble) {
      deployment.workers.getFirst().losePower();
    }
    Deployment.pause(UNNOTICED_MILLIS);
    return judge.holds(judge.submit(WORKERS));
  }
}
