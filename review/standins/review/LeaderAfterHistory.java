package review;

import java.io.IOException;

/**
 * A deployment has worked for a day, so the topic of runs holds a record for each task or gang that
 * was ever done. Then the leader is killed and started again. Jobs have to run on.
 */
public final class LeaderAfterHistory {
  private static final int INSTANCES = 3;

  /** Jobs with gangs or tasks in a day at the rates of the sheet; see claim.txt. */
  private static final int RECORDS = Integer.getInteger("records", 900_000);

  private static final long RESTART_DELAY_MILLIS = 1_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WAIT_MILLIS = 3_000;
  private static final String FIRST_JOB = "ffffffffffffffe1";
  private static final String SECOND_JOB = "ffffffffffffffe2";

  private LeaderAfterHistory() {}

  public static void main(String[] arguments) throws IOException {
    Deployment.main(arguments, LeaderAfterHistory::run);
  }

  private static int run(Deployment deployment, boolean trouble) throws Exception {
    Recorder recorder = deployment.recorder;
    for (int number = 0; number < 12; number++) {
      deployment.fleet.add("i-" + number, "north", "rack-north", INSTANCES);
    }
    deployment.fleet.start();
    for (int number = 0; number < INSTANCES; number++) {
      deployment.start(deployment.add("north", "north: \"tas-south\""));
    }
    Thread.sleep(4_000);
    Instance leader = deployment.instances.get(0);
    Instance other = deployment.instances.get(1);
    deployment.call(other, "POST", "/q1/" + FIRST_JOB, Deployment.job(1, 1, 500));
    Thread.sleep(3_000);
    Store store = deployment.fleet.store();
    byte[] record = store.newestWithPrefix("keyed.runs", FIRST_JOB);
    if (record == null || deployment.fleet.startsOf(FIRST_JOB) != 1) {
      recorder.write("the first job did not run");
      return Deployment.NOT_RUN;
    }
    for (int number = 0; number < RECORDS; number++) {
      store.putRaw(
          "keyed.runs", String.format("%016x.0.0.%d", number / 16 * 0x9e3779b1L, number % 16), record);
    }
    recorder.write(
        "the topic of runs holds %d records like that of the first job, of %d bytes each",
        RECORDS, record.length);
    if (trouble) {
      leader.kill();
      recorder.write("%s is killed", leader.name);
      Thread.sleep(RESTART_DELAY_MILLIS);
      leader.start();
      recorder.write("%s is started again", leader.name);
    }
    Thread.sleep(RECOVERY_MILLIS);
    Http.Response second =
        deployment.call(other, "POST", "/q1/" + SECOND_JOB, Deployment.job(1, 1, 500));
    Thread.sleep(FINISH_MILLIS + WAIT_MILLIS);
    int starts = deployment.fleet.startsOf(SECOND_JOB);
    for (int more = 0; more < 15 && starts == 0; more++) {
      Thread.sleep(1_000);
      starts = deployment.fleet.startsOf(SECOND_JOB);
    }
    recorder.write("job %s: %d tasks were started", SECOND_JOB, starts);
    for (Instance each : deployment.instances) {
      recorder.write("%s is %s", each.name, each.isAlive() ? "alive" : "gone");
      deployment.call(each, "GET", "/q1/" + SECOND_JOB, "");
      for (String line : each.logLines("OutOfMemory")) {
        recorder.write("log of %s: %s", each.name, line);
      }
    }
    if (second.status() != 200) {
      return Deployment.NOT_RUN;
    }
    return starts == 0 ? Deployment.BROKEN : Deployment.HELD;
  }
}
