package review;

import java.io.IOException;
import java.util.List;

/**
 * For 4.5 s, some writes to the store are done and not answered. Two consumers submit at the same
 * instance; the second one makes one attempt only. If it is refused, its job must not run.
 */
public final class RefusedJobRuns {
  private static final long LOSS_MILLIS = 4_500;
  private static final double MAXIMUM_LOST_SHARE = 0.35;
  private static final int INSTANCES = 3;
  private static final String FIRST_JOB = "00000000000000b1";
  private static final String SECOND_JOB = "00000000000000b2";

  private RefusedJobRuns() {}

  public static void main(String[] arguments) throws IOException {
    Deployment.main(arguments, RefusedJobRuns::run);
  }

  /** Loses the first two answers about the first job, and the first one about the second job. */
  private static Store.AnswerLoss losses(Recorder recorder) {
    int[] answers = new int[2];
    return (instance, records) -> {
      boolean first = instance == 0 && records.contains('s' + FIRST_JOB) && answers[0]++ < 2;
      boolean second = instance != 0 && records.contains('s' + SECOND_JOB) && answers[1]++ < 1;
      if (first || second) {
        recorder.write(
            "the write of job %s by instance-%d is done and not answered",
            first ? FIRST_JOB : SECOND_JOB, instance);
      }
      return first || second;
    };
  }

  private static int run(Deployment deployment, boolean trouble) throws Exception {
    Recorder recorder = deployment.recorder;
    String zones = "north: \"tas-south\", south: \"tas-south\", west: \"tas-south\"";
    List<String> names = List.of("north", "south", "west");
    for (int number = 0; number < 12; number++) {
      String zone = names.get(number % 3);
      deployment.fleet.add("i-" + number, zone, "rack-" + zone, INSTANCES);
    }
    deployment.fleet.start();
    for (String zone : names) {
      deployment.start(deployment.add(zone, zones));
    }
    Thread.sleep(4_000);
    Store store = deployment.fleet.store();
    final long appendsBefore = store.appends();
    if (trouble) {
      recorder.write("some writes to the store are done and not answered");
      store.answerLoss = losses(recorder);
    }
    final long end = recorder.nowMillis() + LOSS_MILLIS;
    Instance instance = deployment.instances.get(0);
    String body = Deployment.job(2, 1, 1_000);
    Thread first =
        Thread.ofVirtual()
            .start(() -> deployment.call(instance, "POST", "/q0/" + FIRST_JOB, body));
    Thread.sleep(100);
    Http.Response answer = deployment.call(instance, "POST", "/q0/" + SECOND_JOB, body);
    first.join();
    Thread.sleep(Math.max(0, end - recorder.nowMillis()));
    store.answerLoss = (number, records) -> false;
    long appends = store.appends() - appendsBefore;
    recorder.write("%d of %d writes were not answered", store.lostAnswers(), appends);
    Thread.sleep(6_000);
    int starts = deployment.fleet.startsOf(SECOND_JOB);
    recorder.write(
        "the only attempt of job %s was answered with %d; %d tasks were started",
        SECOND_JOB, answer.status(), starts);
    if (store.lostAnswers() > MAXIMUM_LOST_SHARE * appends) {
      return Deployment.NOT_RUN;
    }
    boolean refused = answer.status() == 503 || answer.status() == 429;
    return refused && starts > 0 ? Deployment.BROKEN : Deployment.HELD;
  }
}
