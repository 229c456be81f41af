package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.policy.LearnedRunTimes;
import io.dragonflyturn.internal.policy.RunTimes;
import io.dragonflyturn.internal.policy.TaskPace;
import io.dragonflyturn.internal.policy.WorkerCondition;
import io.dragonflyturn.internal.policy.WorkerSpeed;
import io.dragonflyturn.internal.policy.WorkerSpeed.Grade;
import io.dragonflyturn.internal.policy.WorkerSpeeds;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Follows the progress and the ends of runs, from which the leader learns how fast each worker is
 * and how long the tasks of each queue take. What it learns is lost with the leader.
 */
final class PaceObserver {
  private final DispatchContext context;
  private final long term;
  private final WorkerHealth health;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  private final LearnedRunTimes runTimes = new LearnedRunTimes();
  private final Map<String, Grade> grades = new HashMap<>();

  /** The expected run times that were asked for at one moment, by run. */
  private final Map<ActiveRun, Long> expectedByRun = new HashMap<>();

  private long expectedAtMillis;

  PaceObserver(DispatchContext context, long term, WorkerHealth health) {
    this.context = context;
    this.term = term;
    this.health = health;
  }

  /** Returns how long tasks are expected to run on a typical worker. */
  RunTimes runTimes() {
    return runTimes;
  }

  /** Returns the speed of a worker in its present incarnation. */
  WorkerSpeed speedOf(WorkerSession session) {
    return speeds.speedOf(session.id(), session.incarnation(), context.nowMillis());
  }

  /** Returns the estimated time until a run ends by itself, in milliseconds. */
  long remainingMillis(Member member) {
    long nowMillis = context.nowMillis();
    if (nowMillis != expectedAtMillis) {
      expectedByRun.clear();
      expectedAtMillis = nowMillis;
    }
    return member.remainingMillis(
        nowMillis, () -> expectedByRun.computeIfAbsent(member.run(), this::expectedMillis));
  }

  /** Returns how long a run is expected to take; a gang takes as long as on its slowest worker. */
  private long expectedMillis(ActiveRun run) {
    WorkUnit unit = run.unit();
    long typicalMillis =
        runTimes.expectedMillis(unit.job().submission().queue().name(), unit.step());
    return (long) (typicalMillis / slowestFactor(run));
  }

  private double slowestFactor(ActiveRun run) {
    double slowest = Double.MAX_VALUE;
    for (Member member : run.members()) {
      slowest = Math.min(slowest, speedOf(member.session()).expectedFactor());
    }
    return slowest;
  }

  /** Learns from the progress of a member. */
  void progressed(Member member) {
    if (member.readsNewPace()) {
      observe(member, member.paceMillis());
    }
  }

  /** Learns from the end of a member. */
  void ended(Member member, EndKind kind) {
    WorkUnit unit = member.unit();
    if (kind != EndKind.DONE || unit.isDone() || unit.step().endless()) {
      return;
    }
    double durationMillis = member.completedMillis(context.nowMillis());
    if (durationMillis <= 0) {
      return;
    }
    observe(member, durationMillis);
    if (isUndisturbed(member)) {
      runTimes.observe(
          unit.job().submission().queue().name(),
          unit.stepKey(),
          unit.step().estimateMillis(),
          durationMillis * slowestFactor(member.run()));
    }
  }

  private void observe(Member member, double durationMillis) {
    WorkerSession session = member.session();
    boolean ownPace = member.run().members().stream().allMatch(each -> each.session() == session);
    if (!ownPace || !isUndisturbed(member)) {
      return;
    }
    WorkUnit unit = member.unit();
    TaskPace pace =
        new TaskPace(
            unit.key() + '/' + member.run().number(),
            session.id(),
            session.incarnation(),
            unit.job().submission().queue().name(),
            unit.stepKey(),
            durationMillis);
    speeds.observe(pace, context.nowMillis());
  }

  /**
   * Returns whether nothing but the task and the speed of its workers decides how long it takes.
   */
  private boolean isUndisturbed(Member member) {
    StepSpecification step = member.unit().step();
    String rack = member.session().registration().rack();
    boolean dataIsNear = step.dataRack().isEmpty() || step.dataRack().equals(rack);
    boolean spansRacks =
        step.singleRack()
            && member.run().members().stream()
                .anyMatch(each -> !each.session().registration().rack().equals(rack));
    return dataIsNear && !spansRacks && !isSick(member.session());
  }

  private boolean isSick(WorkerSession session) {
    WorkerCondition condition = health.conditionOf(session.id());
    return condition == WorkerCondition.SUSPECT || condition == WorkerCondition.EXCLUDED;
  }

  /** Logs when a worker turns out to be slow or fast, and when this is no longer so. */
  void tick(WorkerSession session) {
    WorkerSpeed speed = speedOf(session);
    Grade grade = speed.grade();
    Grade earlier = grades.getOrDefault(session.id(), Grade.TYPICAL);
    if (grade == earlier) {
      return;
    }
    if (grade == Grade.TYPICAL) {
      grades.remove(session.id());
    } else {
      grades.put(session.id(), grade);
    }
    countSlow(earlier, -1);
    countSlow(grade, 1);
    context
        .events()
        .event("worker-speed")
        .with("worker", session.id())
        .with("grade", grade)
        .with("before", earlier)
        .with("percent", Math.round(speed.factor() * 100))
        .with("samples", speed.samples())
        .with("ageMillis", speed.ageMillis())
        .with("term", term)
        .write();
  }

  private void countSlow(@Nullable Grade grade, int change) {
    if (grade == Grade.SLOW) {
      context.metrics().slowWorkers().inc(change);
    }
  }

  /** Forgets a worker that has left. */
  void forget(String worker) {
    speeds.forget(worker);
    countSlow(grades.remove(worker), -1);
  }

  /** Withdraws what this leader says about workers. */
  void close() {
    grades.values().forEach(grade -> countSlow(grade, -1));
    grades.clear();
  }
}
