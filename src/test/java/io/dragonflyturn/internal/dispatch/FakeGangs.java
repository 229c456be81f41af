package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The gangs of in-memory workers, whose members wait for each other and end together. */
final class FakeGangs {
  private static final long WAIT_MILLIS = 3_000;

  private final Collection<FakeWorker> workers;
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Set<String> assembled = new HashSet<>();
  private int runsAlone;

  FakeGangs(Collection<FakeWorker> workers) {
    this.workers = workers;
  }

  /** Makes the tasks of a step wait for each other. */
  void setSize(String stepKey, int tasks) {
    sizes.put(stepKey, tasks);
  }

  int runsAlone() {
    return runsAlone;
  }

  void countAlone() {
    runsAlone++;
  }

  private static String stepKey(String task) {
    return task.substring(0, task.lastIndexOf('.'));
  }

  /** Notes that a gang is complete if the last of its members has started. */
  void recordAssembly(String task, int runNumber) {
    String stepKey = stepKey(task);
    Integer size = sizes.get(stepKey);
    if (size == null) {
      return;
    }
    int present = 0;
    for (FakeWorker worker : workers) {
      present +=
          worker.runningTasks().stream().filter(each -> each.startsWith(stepKey + '.')).count();
    }
    if (present == size) {
      assembled.add(stepKey + '/' + runNumber);
    }
  }

  /** Returns whether a run has waited for too long for the rest of its gang. */
  boolean isAlone(String task, FakeRun run, long clockMillis) {
    String stepKey = stepKey(task);
    return sizes.containsKey(stepKey)
        && !assembled.contains(stepKey + '/' + run.number())
        && clockMillis > run.startMillis() + WAIT_MILLIS;
  }

  /** Ends the other members of a gang when one of them ends without having completed. */
  void breakGang(String task, EndKind kind) {
    String stepKey = stepKey(task);
    if (!sizes.containsKey(stepKey) || kind == EndKind.DONE || kind == EndKind.BROKEN) {
      return;
    }
    for (FakeWorker worker : workers) {
      List.copyOf(worker.runningTasks()).stream()
          .filter(other -> other.startsWith(stepKey + '.'))
          .forEach(other -> worker.end(other, EndKind.BROKEN));
    }
  }
}
