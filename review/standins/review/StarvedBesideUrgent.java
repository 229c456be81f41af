package review;

import java.io.IOException;

/**
 * An urgent job comes while a less urgent one is at work on the first workers of a rack. When that
 * one is done, these workers stay idle, though an accepted job asks for them.
 */
public final class StarvedBesideUrgent {
  private static final long URGENT_WORK_MILLIS = 60_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WAIT_MILLIS = 3_000;
  private static final String FIRST_JOB = "00000000000000f1";
  private static final String URGENT_JOB = "00000000000000f2";
  private static final String LAST_JOB = "00000000000000f3";

  private StarvedBesideUrgent() {}

  public static void main(String[] arguments) throws IOException {
    Deployment.main(arguments, StarvedBesideUrgent::run);
  }

  private static String job(int replicas, int accelerators, long workMillis) {
    return """
        {"spec":"work=%d","steps":[{"replicas":%d,"cpu":1000,"memMb":256,"gpu":%d,"estimateMs":%d,
         "requiredLabel":"rack-a"}]}"""
        .formatted(workMillis, replicas, accelerators, workMillis);
  }

  private static int run(Deployment deployment, boolean trouble) throws Exception {
    Recorder recorder = deployment.recorder;
    for (int number = 0; number < 12; number++) {
      deployment.fleet.add("i-" + (10 + number), "north", number < 6 ? "rack-a" : "rack-b", 3);
    }
    deployment.fleet.start();
    for (int number = 0; number < 3; number++) {
      deployment.start(deployment.add("north", "north: \"tas-south\""));
    }
    Thread.sleep(4_000);
    Instance instance = deployment.instances.get(1);
    deployment.call(instance, "POST", "/q1/" + FIRST_JOB, job(3, 8, 5_000));
    Thread.sleep(1_500);
    if (trouble) {
      deployment.call(instance, "POST", "/q0/" + URGENT_JOB, job(3, 8, URGENT_WORK_MILLIS));
    }
    Thread.sleep(7_000);
    recorder.write(
        "tasks at work: %d of the first job, %d of the urgent job",
        deployment.fleet.activeOf(FIRST_JOB), deployment.fleet.activeOf(URGENT_JOB));
    Http.Response accepted =
        deployment.call(instance, "POST", "/q1/" + LAST_JOB, job(1, 8, 1_000));
    Thread.sleep(FINISH_MILLIS + WAIT_MILLIS);
    int starts = deployment.fleet.startsOf(LAST_JOB);
    recorder.write(
        "job %s: %d tasks were started; the urgent job has %d tasks at work",
        LAST_JOB, starts, deployment.fleet.activeOf(URGENT_JOB));
    deployment.call(instance, "GET", "/q1/" + LAST_JOB, "");
    if (accepted.status() != 200) {
      return Deployment.NOT_RUN;
    }
    return starts == 0 ? Deployment.BROKEN : Deployment.HELD;
  }
}
