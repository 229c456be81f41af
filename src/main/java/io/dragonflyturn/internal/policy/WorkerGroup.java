package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Workers that may run the same units in a planning round. The groups that follow from it are
 * computed once.
 */
final class WorkerGroup {
  private final List<Candidate> workers;
  private @Nullable WorkerGroup healthy;
  private @Nullable WorkerGroup proven;
  private @Nullable WorkerGroup unsuspected;
  private @Nullable WorkerGroup unreserved;
  private @Nullable WorkerBlock block;
  private @Nullable Boolean alike;
  private @Nullable Double usedShare;

  WorkerGroup(List<Candidate> workers) {
    this.workers = workers;
  }

  List<Candidate> workers() {
    return workers;
  }

  /** Returns the workers that are not excluded because of recent failures. */
  WorkerGroup healthy() {
    if (healthy == null) {
      healthy = only(each -> each.worker().healthy());
    }
    return healthy;
  }

  /** Returns the workers on which a run has progressed or completed recently. */
  WorkerGroup proven() {
    if (proven == null) {
      proven = only(each -> each.worker().condition() == WorkerCondition.PROVEN);
    }
    return proven;
  }

  /** Returns the workers whose latest run has not failed. */
  WorkerGroup unsuspected() {
    if (unsuspected == null) {
      unsuspected = only(each -> each.worker().condition() != WorkerCondition.SUSPECT);
    }
    return unsuspected;
  }

  /**
   * Returns the workers that are not reserved for urgent jobs.
   *
   * @param reserved the reserved workers, the same ones for the whole round
   */
  WorkerGroup without(Set<String> reserved) {
    if (unreserved == null) {
      unreserved = only(each -> !reserved.contains(each.id()));
    }
    return unreserved;
  }

  /**
   * Returns the workers that match a condition: this group if all do, so that groups of the same
   * workers are one.
   */
  WorkerGroup only(Predicate<Candidate> condition) {
    List<Candidate> matching = workers.stream().filter(condition).toList();
    return matching.size() == workers.size() ? this : new WorkerGroup(matching);
  }

  /** Returns whether none of the workers is known to be slower or faster than the others. */
  boolean areAlike() {
    if (alike == null) {
      alike = workers.stream().map(each -> each.worker().speed().grade()).distinct().count() <= 1;
    }
    return alike;
  }

  /**
   * Returns the share of the accelerators that was in use at the start of the round; of the
   * processors if there are no accelerators.
   */
  double usedShare() {
    if (usedShare == null) {
      Resources capacity = Resources.NONE;
      Resources free = Resources.NONE;
      for (Candidate candidate : workers) {
        capacity = capacity.plus(candidate.worker().capacity());
        free = free.plus(candidate.freeAtStart());
      }
      usedShare =
          capacity.accelerators() > 0
              ? 1 - (double) free.accelerators() / capacity.accelerators()
              : 1 - (double) free.processorMillis() / Math.max(1, capacity.processorMillis());
    }
    return usedShare;
  }

  /** Returns the block of all workers. */
  WorkerBlock block() {
    if (block == null) {
      block = WorkerBlock.of(workers);
    }
    return block;
  }
}
