package review;

import java.io.IOException;

/**
 * A partition between two regions: the leader and four workers are in one region, the store and the
 * other instances and workers in the other one.
 */
public final class TwoRuns {
  private static final long PARTITION_MILLIS = 14_000;
  private static final String JOB = "00000000000000a1";

  private TwoRuns() {}

  public static void main(String[] arguments) throws IOException {
    Deployment.main(arguments, TwoRuns::run);
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
    deployment.start(deployment.add("south", zones));
    deployment.start(deployment.add("south", zones));
    Thread.sleep(2_000);
    Http.Response accepted =
        deployment.call(
            deployment.instances.get(1), "POST", "/q1/" + JOB, Deployment.job(4, 8, 25_000));
    Thread.sleep(2_000);
    if (accepted.status() != 200 || deployment.fleet.activeOf(JOB) != 4) {
      recorder.write("the job is not at work");
      return Deployment.NOT_RUN;
    }
    if (trouble) {
      recorder.write("the regions lose each other");
      deployment.cutFromStore = instance -> instance == 0;
      deployment.fleet.cutFromStore = worker -> worker.zone.equals("north");
      deployment.fleet.cutFromInstance =
          (instance, worker) -> worker.zone.equals("north") != (instance == 0);
    }
    Thread.sleep(PARTITION_MILLIS);
    if (trouble) {
      recorder.write("the regions reach each other again");
      deployment.cutFromStore = instance -> false;
      deployment.fleet.cutFromStore = worker -> false;
      deployment.fleet.cutFromInstance = (instance, worker) -> false;
    }
    Thread.sleep(10_000);
    for (Instance instance : deployment.instances) {
      deployment.call(instance, "GET", "/q1/" + JOB, "");
    }
    return deployment.fleet.overlaps().isEmpty() ? Deployment.HELD : Deployment.BROKEN;
  }
}
