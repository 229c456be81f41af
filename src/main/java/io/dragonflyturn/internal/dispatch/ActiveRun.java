package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.PreemptionCost;
import io.dragonflyturn.internal.workload.RunRecord.Placement;
import java.util.ArrayList;
import java.util.List;

/** A run of a work unit that may exist on workers. It has one member for each task of the unit. */
final class ActiveRun {
  private final int number;
  private final WorkUnit unit;
  private final List<Member> members = new ArrayList<>();
  private boolean aborting;
  private boolean failed;
  private boolean startBegun;
  private boolean startDisturbed;
  private int resolvedMembers;

  ActiveRun(WorkUnit unit, int number) {
    this.unit = unit;
    this.number = number;
  }

  int number() {
    return number;
  }

  WorkUnit unit() {
    return unit;
  }

  List<Member> members() {
    return members;
  }

  void add(Member member) {
    members.add(member);
  }

  boolean isAborting() {
    return aborting;
  }

  /** Marks the run as being stopped. Returns false if it already was. */
  boolean markAborting() {
    boolean first = !aborting;
    aborting = true;
    return first;
  }

  /**
   * Marks the run as failed. Returns false if it already was, because another member had failed.
   */
  boolean markFailed() {
    boolean first = !failed;
    failed = true;
    return first;
  }

  boolean hasFailed() {
    return failed;
  }

  /** Marks that a start order has been sent. Returns false if this was not the first one. */
  boolean markStartBegun() {
    boolean first = !startBegun;
    startBegun = true;
    return first;
  }

  /** Marks that a start order was not taken, or was answered slowly. */
  void markStartDisturbed() {
    startDisturbed = true;
  }

  boolean isStartDisturbed() {
    return startDisturbed;
  }

  void countResolvedMember() {
    resolvedMembers++;
  }

  boolean isResolved() {
    return resolvedMembers == members.size();
  }

  /** Returns the work that has to be done again if the run is stopped, in core-milliseconds. */
  long thrownAwayCoreMillis(long nowMillis) {
    return members.stream()
        .mapToLong(each -> PreemptionCost.thrownAway(unit.step(), 1, each.runTimeMillis(nowMillis)))
        .sum();
  }

  List<Placement> placements() {
    return members.stream()
        .map(each -> new Placement(each.session().id(), each.session().incarnation()))
        .toList();
  }
}
