package review;

import java.io.IOException;

/**
 * A partition between two regions. The leader is in one region; the workers of the other one keep
 * their path to the store. Afterwards a job needs one of these workers.
 */
public final class IdleAfterPartition {
  private static final long PARTITION_MILLIS = 12_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WAIT_MILLIS = 3_000;
  private static final String FIRST_JOB = "00000000000000d1";
  private static final String SECOND_JOB = "00000000000000d2";

  private IdleAfterPartition() {}

  public static void main(String[] arguments) throws IOException {
    Deployment.main(arguments, IdleAfterPartition::run);
  }

  private static String jobOnRack(int replicas, long workMillis) {
    return """
        {"spec":"work=%d","steps":[{"replicas":%d,"cpu":1000,"memMb":256,"gpu":8,"estimateMs":%d,
         "requiredLabel":"rack-south"}]}"""
        .formatted(workMillis, replicas, workMillis);
  }

  private static int run(Deployment deployment, boolean trouble) throws Exception {
    Recorder recorder = deployment.recorder;
    String zones = "north: \"region-a\", south: \"region-b\"";
    for (int number = 0; number < 8; number++) {
      String zone = number < 4 ? "north" : "south";
      deployment.fleet.add("i-" + number, zone, "rack-" + zone, 3);
    }
    deployment.fleet.start();
    deployment.start(deployment.add("north", zones));
    Thread.sleep(4_000); // The first instance leads before the others start.
    deployment.start(deployment.add("north", zones));
    deployment.start(deployment.add("south", zones));
    Thread.sleep(2_000);
    Instance instance = deployment.instances.get(1);
    Http.Response accepted =
        deployment.call(instance, "POST", "/q1/" + FIRST_JOB, jobOnRack(4, 8_000));
    Thread.sleep(2_000);
    if (accepted.status() != 200 || deployment.fleet.activeOf(FIRST_JOB) != 4) {
      recorder.write("the job is not at work");
      return Deployment.NOT_RUN;
    }
    if (trouble) {
      recorder.write("the regions lose each other; the store is reached from both");
      deployment.fleet.cutFromInstance =
          (number, worker) -> worker.zone.equals("north") != (number < 2);
    }
    Thread.sleep(PARTITION_MILLIS);
    recorder.write("the regions reach each other");
    deployment.fleet.cutFromInstance = (number, worker) -> false;
    Thread.sleep(15_000);
    recorder.write("tasks of the first job at work: %d", deployment.fleet.activeOf(FIRST_JOB));
    Http.Response second =
        deployment.call(instance, "POST", "/q1/" + SECOND_JOB, jobOnRack(1, 1_000));
    Thread.sleep(FINISH_MILLIS + WAIT_MILLIS);
    int starts = deployment.fleet.startsOf(SECOND_JOB);
    recorder.write("job %s: %d tasks were started", SECOND_JOB, starts);
    for (Instance each : deployment.instances) {
      deployment.call(each, "GET", "/q1/" + FIRST_JOB, "");
      deployment.call(each, "GET", "/q1/" + SECOND_JOB, "");
    }
    if (second.status() != 200) {
      return Deployment.NOT_RUN;
    }
    return starts == 0 ? Deployment.BROKEN : Deployment.HELD;
  }
}
