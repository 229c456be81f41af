import java.util.ArrayList;
import java.util.List;

/** One job that can never be done is handed in between jobs that can. */
final class HopelessGang {
  private static final int HOPELESS_JOB = 999;
  private static final int MEMBERS = 14_000;
  private static final int JOBS = 24;
  private static final int JOBS_BEFORE = 8;

  private HopelessGang() {}

  public static void main(String[] arguments) {
    Deployment.run(3, 4, HopelessGang::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    List<String> accepted = new ArrayList<>();
    for (int number = 0; number < JOBS; number++) {
      if (number == JOBS_BEFORE && deployment.trouble) {
        String hopeless =
            "{\"spec\":\"ms=1000 gang=" + MEMBERS + "\",\"steps\":[{\"replicas\":" + MEMBERS
                + ",\"cpu\":1,\"gang\":true,\"estimateMs\":1000}]}";
        deployment.journal.say(
            "the hopeless job was handed in: %d",
            deployment.submit(Deployment.jobId(HOPELESS_JOB), hopeless, 0, 4));
      }
      if (deployment.submitTasks(number, 4, 500, ",\"cpu\":1000,\"memMb\":256") == 200) {
        accepted.add(Deployment.jobId(number));
      }
      Thread.sleep(400);
    }
    deployment.journal.say("%d jobs that can be done were accepted", accepted.size());
    Thread.sleep(Deployment.FINISH_MILLIS);
    return !Rules.waitInVain(deployment, accepted);
  }
}
