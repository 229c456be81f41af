import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The checks of rules that several cases share. */
final class Rules {
  private Rules() {}

  /**
   * Whether the rule TWICE was broken: a task ran twice at the same time, or began again after an
   * end "done" that was noted, where the worker's lease did not lapse between the two.
   */
  static boolean startedTwice(Deployment deployment) {
    List<Fleet.Run> runs = deployment.fleet.runs();
    Map<String, Fleet.Run> last = new HashMap<>();
    int broken = 0;
    for (Fleet.Run run : runs) {
      Fleet.Run earlier = last.put(run.task, run);
      if (earlier == null) {
        continue;
      }
      boolean overlap = earlier.active() || run.startedMillis < earlier.endedMillis;
      boolean afterDone =
          earlier.how.equals("done") && earlier.notedMillis >= 0 && !earlier.lapsedBeforeNoted;
      if (overlap || afterDone) {
        broken++;
        deployment.journal.line(
            "TWICE: run %d of %s on %s ended %s at %.3f (noted at %.3f), run %d on %s began at %.3f",
            earlier.number, run.task, earlier.worker.id, earlier.how, earlier.endedMillis / 1000.0,
            earlier.notedMillis / 1000.0, run.number, run.worker.id, run.startedMillis / 1000.0);
      }
    }
    deployment.journal.say(
        "%d runs began, %d ended done; %d began beside a run or after an end done that was noted",
        runs.size(), deployment.fleet.ended("done"), broken);
    return broken > 0;
  }

  /**
   * Whether the rule LOST was broken at the end of a day: for three seconds an accepted job that is
   * not done has nothing running, though its tasks need almost nothing of workers that are idle.
   */
  static boolean waitInVain(Deployment deployment, List<String> accepted)
      throws InterruptedException {
    List<String> idle = new ArrayList<>(accepted);
    idle.removeAll(done(deployment, idle));
    int before = deployment.fleet.runs().size();
    long until = Journal.now() + 3_000;
    while (Journal.now() < until) {
      List<Fleet.Run> runs = deployment.fleet.runs();
      idle.removeIf(
          id -> runs.stream().anyMatch(run -> run.active() && run.task.startsWith(id)));
      Thread.sleep(20);
    }
    idle.removeAll(done(deployment, idle));
    List<Fleet.Run> runs = deployment.fleet.runs();
    for (int index = before; index < runs.size(); index++) {
      idle.remove(runs.get(index).task.substring(0, 16));
    }
    for (String id : idle) {
      deployment.journal.line("LOST: %s has had nothing running for 3 s", id);
    }
    deployment.journal.say(
        "%d of %d accepted jobs had nothing running in the last 3 s; %d runs began in them, %d are "
            + "active",
        idle.size(), accepted.size(), runs.size() - before, deployment.fleet.active());
    return !idle.isEmpty();
  }

  /** The jobs that some instance shows as completed. */
  private static Set<String> done(Deployment deployment, List<String> jobs)
      throws InterruptedException {
    Set<String> completed = ConcurrentHashMap.newKeySet();
    List<Thread> consumers = new ArrayList<>();
    for (Deployment.Instance instance : deployment.instances) {
      for (String id : jobs) {
        consumers.add(
            Thread.startVirtualThread(
                () -> {
                  if (deployment.state(instance, id).equals("completed")) {
                    completed.add(id);
                  }
                }));
      }
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    return completed;
  }
}
