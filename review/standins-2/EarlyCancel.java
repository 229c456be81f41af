import java.util.HashMap;
import java.util.Map;

/**
 * Consumers cancel jobs shortly after these were accepted, at the instance that accepted them;
 * without the disruption they cancel them some seconds later.
 */
final class EarlyCancel {
  private static final int JOBS = 40;
  private static final long CANCEL_DELAY_MILLIS = 20;
  private static final long LATE_CANCEL_DELAY_MILLIS = 3_000;
  private static final long TASK_MILLIS = 12_000;
  private static final long ACK_MILLIS = 4_000;

  private EarlyCancel() {}

  public static void main(String[] arguments) {
    Deployment.run(3, 4, EarlyCancel::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    Journal journal = deployment.journal;
    Map<String, Long> cancelled = new HashMap<>();
    Map<Integer, Integer> answers = new HashMap<>();
    for (int number = 0; number < JOBS; number++) {
      String body = Deployment.body("ms=" + TASK_MILLIS, 1, TASK_MILLIS, ",\"cpu\":500");
      Deployment.Instance instance = instance(deployment, number);
      int status = deployment.send(instance, "POST", Deployment.jobId(number), body);
      if (status == 200 && deployment.trouble) {
        Thread.sleep(CANCEL_DELAY_MILLIS);
        cancel(deployment, number, cancelled, answers);
      }
    }
    if (!deployment.trouble) {
      Thread.sleep(LATE_CANCEL_DELAY_MILLIS);
      for (int number = 0; number < JOBS; number++) {
        cancel(deployment, number, cancelled, answers);
      }
    }
    journal.say("%d accepted jobs were cancelled, answers: %s", cancelled.size(), answers);
    Thread.sleep(TASK_MILLIS + 3_000);
    // Counted as late only if the answer is not taken as the acknowledgement of the cancelling.
    long boundMillis = ACK_MILLIS + Deployment.CANCEL_MILLIS + Fleet.STOP_MILLIS;
    int broken = 0;
    for (Fleet.Run run : deployment.fleet.runs()) {
      Long at = cancelled.get(run.task.substring(0, 16));
      if (at != null && (run.active() || run.endedMillis > at + boundMillis)) {
        broken++;
        journal.line(
            "UNASKED: %s, cancelled at %.3f, ran from %.3f to %.3f (%s)", run.task, at / 1000.0,
            run.startedMillis / 1000.0, run.endedMillis / 1000.0, run.how);
      }
    }
    journal.say("%d tasks ran on for more than %d ms after the cancel", broken, boundMillis);
    return broken == 0;
  }

  private static Deployment.Instance instance(Deployment deployment, int number) {
    return deployment.instances.get(number % deployment.instances.size());
  }

  private static void cancel(
      Deployment deployment,
      int number,
      Map<String, Long> cancelled,
      Map<Integer, Integer> answers) {
    String id = Deployment.jobId(number);
    answers.merge(
        deployment.send(instance(deployment, number), "DELETE", id, null), 1, Integer::sum);
    cancelled.put(id, Journal.now());
  }
}
